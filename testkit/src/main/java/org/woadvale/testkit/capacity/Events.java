package org.woadvale.testkit.capacity;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.simulation.FleetSimulation;
import org.woadvale.testkit.stub.TestConfiguration;

/**
 * A simulated fleet of complete nodes (8 intakes, 3 stores, 3 control nodes) under mixed traffic: frames and CPU time per
 * event, summed over all nodes. The CPU time includes the simulator and the stubs, and excludes sockets.
 * (docs/design.md, section 12.1)
 */
final class Events implements Mechanism {
    private static final Duration WINDOW = Duration.ofSeconds(20);
    private static final long HEAP_BYTES = 1L << 30;
    private static final int RING_BYTES = 4 << 20;
    private static final int MAX_EVENTS_PER_SECOND = 800;

    @Override
    public String sizeLabel() {
        return "events handed in /s";
    }

    @Override
    public List<Integer> defaultSizes() {
        return List.of(50, 100, 200, 300);
    }

    @Override
    public int maxSize() {
        return MAX_EVENTS_PER_SECOND;
    }

    @Override
    public long estimatedHeapBytes(int size) {
        return HEAP_BYTES;
    }

    @Override
    public Map<String, Double> measure(int size) throws ServiceException {
        FleetSimulation simulation =
                new FleetSimulation(1, 8, 3, 12, new TestConfiguration(8, 12, 100, 200, 40), RING_BYTES).startAll();
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        simulation.traffic(size);
        simulation.fleet.sim.run(Duration.ofSeconds(5));
        long frames = simulation.fleet.net.frames();
        long accepted = accepted(simulation);
        long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        simulation.fleet.sim.run(WINDOW);
        double s = WINDOW.toSeconds();
        Map<String, Double> out = new LinkedHashMap<>();
        out.put("accepted /s", (accepted(simulation) - accepted) / s);
        out.put("asks of the fleet /s", (simulation.fleet.net.frames() - frames) / s);
        out.put(
                "processor ms of the fleet /s",
                (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu) / 1e6 / s);
        return out;
    }

    private static long accepted(FleetSimulation simulation) {
        return simulation.countsByOutcome().getOrDefault("accepted", 0L);
    }
}

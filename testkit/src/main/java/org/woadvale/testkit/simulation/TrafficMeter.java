package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.TestConfiguration;

/** Measures the traffic between zones by type of frame: see docs/measurements.md. */
public final class TrafficMeter {
    /** The approximate overhead of TCP, IP and the ACK of every other segment for a frame sent on its own. */
    private static final int OVERHEAD_BYTES = 4 + 52 + 26;

    private static final class FrameTotals {
        private long frames;
        private long bytes;
    }

    private final Map<String, FrameTotals> loads = new TreeMap<>();

    private TrafficMeter() {}

    private void watch(FleetSimulation simulation) {
        simulation.fleet.net.onFrame((from, to, frame, bytes) -> {
            if (!simulation.fleet.zone(from).equals(simulation.fleet.zone(to))) {
                FrameTotals totals =
                        loads.computeIfAbsent(frame.body().getClass().getSimpleName(), k -> new FrameTotals());
                totals.frames++;
                totals.bytes += bytes;
            }
        });
    }

    private void print(String title, double divisor) {
        System.out.println(title);
        System.out.println("| frame | frames | bytes | bytes each | bytes with TCP/IP overhead |");
        System.out.println("|---|---|---|---|---|");
        loads.entrySet().stream()
                .sorted(Comparator.comparing(
                        entry -> -(entry.getValue().bytes + OVERHEAD_BYTES * entry.getValue().frames)))
                .limit(14)
                .forEach(entry -> row(entry.getKey(), entry.getValue(), divisor));
        FrameTotals all = new FrameTotals();
        loads.values().forEach(totals -> {
            all.frames += totals.frames;
            all.bytes += totals.bytes;
        });
        row("all", all, divisor);
    }

    private static void row(String name, FrameTotals totals, double divisor) {
        System.out.printf(
                Locale.ROOT,
                "| %s | %.1f | %.0f | %.0f | %.0f |%n",
                name,
                totals.frames / divisor,
                totals.bytes / divisor,
                totals.bytes / (double) Math.max(1, totals.frames),
                (totals.bytes + OVERHEAD_BYTES * totals.frames) / divisor);
    }

    public static void main(String[] args) throws ServiceException {
        TestConfiguration eight = new TestConfiguration(8, 12, 45, 60, 26);
        FleetSimulation idle = new FleetSimulation(1, 8, 3, 12, eight, SimulatedFleet.LARGE_RING).startAll();
        idle.fleet.sim.run(Duration.ofSeconds(30));
        TrafficMeter idleTraffic = new TrafficMeter();
        idleTraffic.watch(idle);
        idle.fleet.sim.run(Duration.ofSeconds(20));
        idleTraffic.print("An idle fleet of 8 + 3 + 3 in three zones, per second:", 20);
        for (int rate : new int[] {8, 60, 270}) {
            measureTraffic(rate, eight);
        }
    }

    private static void measureTraffic(int rate, TestConfiguration testConfiguration) throws ServiceException {
        FleetSimulation simulation =
                new FleetSimulation(1, 8, 3, 12, testConfiguration, SimulatedFleet.LARGE_RING).startAll();
        simulation.traffic(rate);
        simulation.fleet.sim.run(Duration.ofSeconds(10));
        long before = simulation.countsByOutcome().getOrDefault("accepted", 0L);
        TrafficMeter meter = new TrafficMeter();
        meter.watch(simulation);
        simulation.fleet.sim.run(Duration.ofSeconds(20));
        meter.print(
                "At " + rate + " messages per second, per message, including its share of the idle traffic:",
                simulation.countsByOutcome().get("accepted") - before);
    }
}

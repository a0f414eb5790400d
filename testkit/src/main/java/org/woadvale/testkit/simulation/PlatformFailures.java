package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.ObservationLog;

/** The failures of the {@link PlatformScenarios}, each injected into a running simulated platform. */
final class PlatformFailures {
    private PlatformFailures() {}

    static void runTraffic(PlatformSimulation simulation, double perSecond, int seconds) {
        simulation.clients.start(perSecond);
        simulation.network.sim.run(Duration.ofSeconds(seconds));
        simulation.clients.stop();
    }

    private static void recordTrouble(PlatformSimulation simulation, int seconds) {
        simulation.observations.troubles.add(new ObservationLog.Disruption(
                "scenario",
                simulation.network.sim.now(),
                simulation.network.sim.now().plusSeconds(seconds)));
    }

    static void powerLossEverywhere(PlatformSimulation simulation) throws ServiceException {
        simulation.clients.start(20);
        for (int ms = 0; ms < 3000; ms += 50) {
            int n = ms;
            simulation.network.sim.after(
                    Duration.ofMillis(ms),
                    () -> simulation.clients.send(
                            "/open/later" + n, "key" + n / 50 % 4, "", 20_000, simulation.entry.any()));
        }
        simulation.network.sim.run(Duration.ofSeconds(4));
        simulation.clients.stop();
        recordTrouble(simulation, 12);
        simulation.network.all().forEach(h -> simulation.network.host(h).powerLoss());
        simulation.network.sim.run(Duration.ofSeconds(1));
        for (String h : simulation.network.all()) {
            simulation.network.restart(h);
        }
        simulation.network.sim.run(Duration.ofSeconds(8));
    }

    static void answersDoNotComeBack(PlatformSimulation simulation) {
        recordTrouble(simulation, 12);
        simulation.clients.start(40);
        simulation.network.stores.forEach(
                store -> simulation.network.net.cutOneWay(store, simulation.network.intakes.get(0)));
        simulation.network.sim.run(Duration.ofSeconds(3));
        simulation.clients.stop();
        simulation.network.sim.run(Duration.ofSeconds(7));
        simulation.network.net.heal();
    }

    static void processorsBreakOff(PlatformSimulation simulation) {
        simulation
                .processors
                .values()
                .forEach(processor -> processor.behave(
                        new ProcessorBehavior(Duration.ofMillis(50), Duration.ofMillis(400), 0.2, 0.4, 0.1)));
        runTraffic(simulation, 25, 6);
        simulation.network.sim.run(Duration.ofSeconds(2));
        simulation.processors.values().forEach(processor -> processor.behave(ProcessorBehavior.reliable()));
    }

    static void processorsStopExtendingLeases(PlatformSimulation simulation) {
        simulation.pullers.values().forEach(puller -> {
            puller.stopExtendingLeases();
            puller.behave(new ProcessorBehavior(Duration.ofMillis(2500), Duration.ofMillis(6000), 0, 0, 0));
        });
        runTraffic(simulation, 10, 4);
        simulation.network.sim.run(Duration.ofSeconds(12));
        simulation.pullers.values().forEach(puller -> puller.behave(ProcessorBehavior.reliable()));
    }

    /**
     * Processors stop without notice and stay on the list, while processors of another service take their addresses.
     */
    static void reusedAddress(PlatformSimulation simulation) {
        simulation.clients.start(40);
        simulation.network.sim.run(Duration.ofSeconds(1));
        List<ScriptedProcessor> replaced = simulation.processors.values().stream()
                .filter(processor -> processor.service().equals("plain"))
                .toList();
        replaced.forEach(processor -> simulation.replaceAtSameAddress(processor, "book"));
        simulation.network.sim.run(Duration.ofSeconds(3));
        simulation.processor("plain", "10.9.5.1:8080");
        simulation.network.sim.run(Duration.ofSeconds(3));
        simulation.clients.stop();
    }

    static void slowStreams(PlatformSimulation simulation) {
        String endpoint = "172.20.0.3:8748";
        for (int ms = 0; ms < 9000; ms += 25) {
            int n = ms;
            simulation.network.sim.after(
                    Duration.ofMillis(ms),
                    () -> simulation.clients.send("/check/" + n, "key" + n / 25 % 4, "", 0, simulation.entry.any()));
        }
        for (int ms = 0; ms < 1200; ms += 50) {
            Duration delay = Duration.ofMillis(1200 - ms);
            simulation.network.sim.after(
                    Duration.ofMillis(5000 + ms),
                    () -> simulation.network.processorNetwork.delayConnections(endpoint, delay));
        }
        simulation.network.sim.after(
                Duration.ofMillis(6200),
                () -> simulation.network.processorNetwork.delayConnections(endpoint, Duration.ZERO));
        simulation.network.sim.run(Duration.ofSeconds(40));
    }

    static void stalledStreams(PlatformSimulation simulation) {
        String intake = simulation.network.intakes.get(0);
        for (int n = 0; n < 20; n++) {
            simulation.clients.send("/open/w" + n, "key1", "", 0, intake);
        }
        simulation.network.sim.run(Duration.ofSeconds(1));
        recordTrouble(simulation, 60);
        simulation.network.stores.forEach(store -> simulation.network.net.stall(intake, store));
        for (int ms = 0; ms < 50000; ms += 50) {
            int n = ms;
            simulation.network.sim.after(
                    Duration.ofMillis(ms), () -> simulation.clients.send("/open/" + n, "key0", "", 0, intake));
        }
        simulation.network.sim.run(Duration.ofSeconds(50));
        simulation.network.net.heal();
        simulation.network.sim.run(Duration.ofSeconds(2));
    }

    static void keyWithdrawn(PlatformSimulation simulation, AtomicBoolean viewsFrozen) {
        viewsFrozen.set(true);
        for (int i = 0; i < 4; i++) {
            simulation.operator.keys();
            simulation.network.sim.run(Duration.ofSeconds(1));
        }
        simulation.network.sim.run(Duration.ofSeconds(6));
        for (int i = 0; i < 20; i++) {
            simulation.clients.send("/open/" + i, "spare" + i % 4, "", 0, simulation.entry.any());
        }
        simulation.network.sim.run(Duration.ofSeconds(3));
        viewsFrozen.set(false);
    }

    static void routeAdded(PlatformSimulation simulation, AtomicBoolean viewsFrozen) {
        viewsFrozen.set(true);
        simulation.operator.change();
        simulation.network.sim.run(Duration.ofSeconds(5));
        simulation.network.intakes.forEach(i -> simulation.clients.send("/new0/1", "key0", "", 0, i));
        simulation.network.sim.run(Duration.ofSeconds(2));
        viewsFrozen.set(false);
    }

    static void processorLeaves(PlatformSimulation simulation, AtomicBoolean viewsFrozen) {
        simulation.clients.start(40);
        simulation.network.sim.run(Duration.ofSeconds(1));
        viewsFrozen.set(true);
        simulation.leave(simulation.processors.values().stream()
                .filter(processor -> processor.service().equals("plain"))
                .findFirst()
                .orElseThrow());
        simulation.network.sim.run(Duration.ofSeconds(6));
        simulation.clients.stop();
        viewsFrozen.set(false);
    }
}

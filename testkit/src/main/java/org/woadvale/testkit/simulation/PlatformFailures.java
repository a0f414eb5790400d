package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.ObservationLog;

/** The failures that {@link PlatformScenarios} brings about, each played on a simulated platform that is under way. */
final class PlatformFailures {
    private PlatformFailures() {}

    static void served(PlatformSimulation p, double perSecond, int seconds) {
        p.clients.start(perSecond);
        p.network.sim.run(Duration.ofSeconds(seconds));
        p.clients.stop();
    }

    private static void trouble(PlatformSimulation p, int seconds) {
        p.seen.troubles.add(new ObservationLog.Trouble(
                "scene", p.network.sim.now(), p.network.sim.now().plusSeconds(seconds)));
    }

    static void powerLost(PlatformSimulation p) throws ServiceException {
        p.clients.start(20);
        for (int ms = 0; ms < 3000; ms += 50) {
            int n = ms;
            p.network.sim.after(
                    Duration.ofMillis(ms),
                    () -> p.clients.send("/open/later" + n, "key" + n / 50 % 4, "", 20_000, p.entry.any()));
        }
        p.network.sim.run(Duration.ofSeconds(4));
        p.clients.stop();
        trouble(p, 12);
        p.network.all().forEach(h -> p.network.host(h).powerLoss());
        p.network.sim.run(Duration.ofSeconds(1));
        for (String h : p.network.all()) {
            p.network.restart(h);
        }
        p.network.sim.run(Duration.ofSeconds(8));
    }

    static void answersDoNotComeBack(PlatformSimulation p) {
        trouble(p, 12);
        p.clients.start(40);
        p.network.stores.forEach(s -> p.network.net.cutOneWay(s, p.network.intakes.get(0)));
        p.network.sim.run(Duration.ofSeconds(3));
        p.clients.stop();
        p.network.sim.run(Duration.ofSeconds(7));
        p.network.net.heal();
    }

    static void breakingOff(PlatformSimulation p) {
        p.processors
                .values()
                .forEach(h ->
                        h.behave(new ProcessorHabits(Duration.ofMillis(50), Duration.ofMillis(400), 0.2, 0.4, 0.1)));
        served(p, 25, 6);
        p.network.sim.run(Duration.ofSeconds(2));
        p.processors.values().forEach(h -> h.behave(ProcessorHabits.good()));
    }

    static void muteProcessors(PlatformSimulation p) {
        p.pullers.values().forEach(x -> {
            x.mute();
            x.behave(new ProcessorHabits(Duration.ofMillis(2500), Duration.ofMillis(6000), 0, 0, 0));
        });
        served(p, 10, 4);
        p.network.sim.run(Duration.ofSeconds(12));
        p.pullers.values().forEach(x -> x.behave(ProcessorHabits.good()));
    }

    /** Gone without a word, still on the list, and somebody else is there. */
    static void reusedAddress(PlatformSimulation p) {
        p.clients.start(40);
        p.network.sim.run(Duration.ofSeconds(1));
        List<ScriptedProcessor> plain = p.processors.values().stream()
                .filter(h -> h.service().equals("plain"))
                .toList();
        plain.forEach(h -> p.moveIn(h, "book"));
        p.network.sim.run(Duration.ofSeconds(3));
        p.processor("plain", "10.9.5.1:8080");
        p.network.sim.run(Duration.ofSeconds(3));
        p.clients.stop();
    }

    static void slowStreams(PlatformSimulation p) {
        String far = "172.20.0.3:8748";
        for (int ms = 0; ms < 9000; ms += 25) {
            int n = ms;
            p.network.sim.after(
                    Duration.ofMillis(ms),
                    () -> p.clients.send("/check/" + n, "key" + n / 25 % 4, "", 0, p.entry.any()));
        }
        for (int ms = 0; ms < 1200; ms += 50) {
            Duration left = Duration.ofMillis(1200 - ms);
            p.network.sim.after(
                    Duration.ofMillis(5000 + ms), () -> p.network.processorSimulation.slowStreams(far, left));
        }
        p.network.sim.after(
                Duration.ofMillis(6200), () -> p.network.processorSimulation.slowStreams(far, Duration.ZERO));
        p.network.sim.run(Duration.ofSeconds(40));
    }

    static void stalled(PlatformSimulation p) {
        String i = p.network.intakes.get(0);
        for (int n = 0; n < 20; n++) {
            p.clients.send("/open/w" + n, "key1", "", 0, i);
        }
        p.network.sim.run(Duration.ofSeconds(1));
        trouble(p, 60);
        p.network.stores.forEach(s -> p.network.net.stall(i, s));
        for (int ms = 0; ms < 50000; ms += 50) {
            int n = ms;
            p.network.sim.after(Duration.ofMillis(ms), () -> p.clients.send("/open/" + n, "key0", "", 0, i));
        }
        p.network.sim.run(Duration.ofSeconds(50));
        p.network.net.heal();
        p.network.sim.run(Duration.ofSeconds(2));
    }

    static void keyWithdrawn(PlatformSimulation p, AtomicBoolean frozen) {
        frozen.set(true);
        for (int i = 0; i < 4; i++) {
            p.operator.keys();
            p.network.sim.run(Duration.ofSeconds(1));
        }
        p.network.sim.run(Duration.ofSeconds(6));
        for (int i = 0; i < 20; i++) {
            p.clients.send("/open/" + i, "spare" + i % 4, "", 0, p.entry.any());
        }
        p.network.sim.run(Duration.ofSeconds(3));
        frozen.set(false);
    }

    static void routeAdded(PlatformSimulation p, AtomicBoolean frozen) {
        frozen.set(true);
        p.operator.change();
        p.network.sim.run(Duration.ofSeconds(5));
        p.network.intakes.forEach(i -> p.clients.send("/new0/1", "key0", "", 0, i));
        p.network.sim.run(Duration.ofSeconds(2));
        frozen.set(false);
    }

    static void processorLeaves(PlatformSimulation p, AtomicBoolean frozen) {
        p.clients.start(40);
        p.network.sim.run(Duration.ofSeconds(1));
        frozen.set(true);
        p.leave(p.processors.values().stream()
                .filter(h -> h.service().equals("plain"))
                .findFirst()
                .orElseThrow());
        p.network.sim.run(Duration.ofSeconds(6));
        p.clients.stop();
        frozen.set(false);
    }
}

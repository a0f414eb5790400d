package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.ObservationLog;
import org.woadvale.testkit.stub.Rules;

/** Scenarios that bring about the failure each rule is meant for, as shipped and with one mechanism left out. design 12.3 */
public final class PlatformScenarios {
    interface Scene {
        void play(PlatformSimulation p) throws ServiceException;
    }

    /** A rule, what brings its break about, and what keeps it. */
    public static final class Pair {
        public final String rule;
        public final String failure;
        public final String leftOut;
        private final Scene scene;
        private final Seams naive;

        Pair(String rule, String failure, String leftOut, Scene scene, Seams naive) {
            this.rule = rule;
            this.failure = failure;
            this.leftOut = leftOut;
            this.scene = scene;
            this.naive = naive;
        }

        private PlatformSimulation played(long seed, Seams seams) throws ServiceException {
            PlatformSimulation p = new PlatformSimulation(seed, 3, 3, seams).embark();
            scene.play(p);
            p.end(Duration.ofSeconds(10));
            return p;
        }

        public List<String> shipped(long seed) throws ServiceException {
            return new Rules(played(seed, Seams.none()).seen).violations();
        }

        public List<String> brokenWithout(long seed) throws ServiceException {
            return new Rules(played(seed, naive).seen).broken();
        }

        @Override
        public String toString() {
            return rule;
        }
    }

    private PlatformScenarios() {}

    public static List<Pair> all() {
        AtomicBoolean frozen = new AtomicBoolean();
        return List.of(
                new Pair(
                        "LOST",
                        "power lost everywhere",
                        "sync before the answer",
                        PlatformScenarios::powerLost,
                        BareReplicas.lyingStores()),
                new Pair(
                        "REFUSED",
                        "stores' answers do not come back",
                        "no answer is not a no",
                        PlatformScenarios::answersDoNotComeBack,
                        NaiveVariants.silenceIsNo()),
                new Pair(
                        "ORDER",
                        "processors break off",
                        "silence is not an end",
                        PlatformScenarios::breakingOff,
                        BareReplicas.silenceIsRefusal()),
                new Pair(
                        "TWICE read",
                        "a good day",
                        "a sealed answer is proof",
                        p -> served(p, 30, 5),
                        BareReplicas.successIsNoProof()),
                new Pair(
                        "TWICE leases",
                        "processors say nothing for longer than a lease",
                        "only the present lease ends it",
                        PlatformScenarios::muteProcessors,
                        BareReplicas.anyLeaseWillDo()),
                new Pair(
                        "MIXED",
                        "processors fail",
                        "only a seal is proof",
                        PlatformScenarios::breakingOff,
                        BareReplicas.errorIsSuccess()),
                new Pair(
                        "ROUTE",
                        "another service takes an address",
                        "the expected instance",
                        PlatformScenarios::reusedAddress,
                        BareReplicas.nobodyIsExpected()),
                new Pair(
                        "UNASKED",
                        "a good day",
                        "bytes go as they came",
                        p -> served(p, 30, 3),
                        BareReplicas.bytesChange()),
                new Pair(
                        "CEILING",
                        "streams to the endpoint open slowly",
                        "the last look when the stream is open",
                        PlatformScenarios::slowStreams,
                        BareReplicas.lookFirstSendLater()),
                new Pair(
                        "QUOTA",
                        "streams stall under a flood",
                        "a time by which a hand-in must have come",
                        PlatformScenarios::stalled,
                        NaiveVariants.timelessHandIns()),
                new Pair(
                        "CONFIG revoked",
                        "a key is withdrawn",
                        "news of proven age",
                        p -> keyWithdrawn(p, frozen),
                        BareReplicas.newsStands(frozen::get)),
                new Pair(
                        "CONFIG ignored",
                        "a route comes",
                        "news of proven age",
                        p -> routeAdded(p, frozen),
                        BareReplicas.newsStands(frozen::get)),
                new Pair(
                        "DRAIN",
                        "a processor leaves",
                        "news of proven age",
                        p -> processorLeaves(p, frozen),
                        BareReplicas.newsStands(frozen::get)));
    }

    private static void served(PlatformSimulation p, double perSecond, int seconds) {
        p.traffic(perSecond);
        p.network.sim.run(Duration.ofSeconds(seconds));
        p.calm();
    }

    private static void trouble(PlatformSimulation p, int seconds) {
        p.seen.troubles.add(new ObservationLog.Trouble(
                "scene", p.network.sim.now(), p.network.sim.now().plusSeconds(seconds)));
    }

    private static void powerLost(PlatformSimulation p) throws ServiceException {
        p.traffic(20);
        for (int ms = 0; ms < 3000; ms += 50) {
            int n = ms;
            p.network.sim.after(
                    Duration.ofMillis(ms),
                    () -> p.send("/open/later" + n, "key" + n / 50 % 4, "", 20_000, p.entry.any()));
        }
        p.network.sim.run(Duration.ofSeconds(4));
        p.calm();
        trouble(p, 12);
        p.network.all().forEach(h -> p.network.host(h).powerLoss());
        p.network.sim.run(Duration.ofSeconds(1));
        for (String h : p.network.all()) {
            p.network.restart(h);
        }
        p.network.sim.run(Duration.ofSeconds(8));
    }

    private static void answersDoNotComeBack(PlatformSimulation p) {
        trouble(p, 12);
        p.traffic(40);
        p.network.stores.forEach(s -> p.network.net.cutOneWay(s, p.network.intakes.get(0)));
        p.network.sim.run(Duration.ofSeconds(3));
        p.calm();
        p.network.sim.run(Duration.ofSeconds(7));
        p.network.net.heal();
    }

    private static void breakingOff(PlatformSimulation p) {
        p.processors
                .values()
                .forEach(h ->
                        h.behave(new ProcessorHabits(Duration.ofMillis(50), Duration.ofMillis(400), 0.2, 0.4, 0.1)));
        served(p, 25, 6);
        p.network.sim.run(Duration.ofSeconds(2));
        p.processors.values().forEach(h -> h.behave(ProcessorHabits.good()));
    }

    private static void muteProcessors(PlatformSimulation p) {
        p.pullers.values().forEach(x -> {
            x.mute();
            x.behave(new ProcessorHabits(Duration.ofMillis(2500), Duration.ofMillis(6000), 0, 0, 0));
        });
        served(p, 10, 4);
        p.network.sim.run(Duration.ofSeconds(12));
        p.pullers.values().forEach(x -> x.behave(ProcessorHabits.good()));
    }

    /** Gone without a word, still on the list, and somebody else is there. */
    private static void reusedAddress(PlatformSimulation p) {
        p.traffic(40);
        p.network.sim.run(Duration.ofSeconds(1));
        List<ScriptedProcessor> plain = p.processors.values().stream()
                .filter(h -> h.service().equals("plain"))
                .toList();
        plain.forEach(h -> p.moveIn(h, "book"));
        p.network.sim.run(Duration.ofSeconds(3));
        p.processor("plain", "10.9.5.1:8080");
        p.network.sim.run(Duration.ofSeconds(3));
        p.calm();
    }

    private static void slowStreams(PlatformSimulation p) {
        String far = "172.20.0.3:8748";
        for (int ms = 0; ms < 9000; ms += 25) {
            int n = ms;
            p.network.sim.after(
                    Duration.ofMillis(ms), () -> p.send("/check/" + n, "key" + n / 25 % 4, "", 0, p.entry.any()));
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

    private static void stalled(PlatformSimulation p) {
        String i = p.network.intakes.get(0);
        for (int n = 0; n < 20; n++) {
            p.send("/open/w" + n, "key1", "", 0, i);
        }
        p.network.sim.run(Duration.ofSeconds(1));
        trouble(p, 60);
        p.network.stores.forEach(s -> p.network.net.stall(i, s));
        for (int ms = 0; ms < 50000; ms += 50) {
            int n = ms;
            p.network.sim.after(Duration.ofMillis(ms), () -> p.send("/open/" + n, "key0", "", 0, i));
        }
        p.network.sim.run(Duration.ofSeconds(50));
        p.network.net.heal();
        p.network.sim.run(Duration.ofSeconds(2));
    }

    private static void keyWithdrawn(PlatformSimulation p, AtomicBoolean frozen) {
        frozen.set(true);
        for (int i = 0; i < 4; i++) {
            p.operator.keys();
            p.network.sim.run(Duration.ofSeconds(1));
        }
        p.network.sim.run(Duration.ofSeconds(6));
        for (int i = 0; i < 20; i++) {
            p.send("/open/" + i, "spare" + i % 4, "", 0, p.entry.any());
        }
        p.network.sim.run(Duration.ofSeconds(3));
        frozen.set(false);
    }

    private static void routeAdded(PlatformSimulation p, AtomicBoolean frozen) {
        frozen.set(true);
        p.operator.change();
        p.network.sim.run(Duration.ofSeconds(5));
        p.network.intakes.forEach(i -> p.send("/new0/1", "key0", "", 0, i));
        p.network.sim.run(Duration.ofSeconds(2));
        frozen.set(false);
    }

    private static void processorLeaves(PlatformSimulation p, AtomicBoolean frozen) {
        p.traffic(40);
        p.network.sim.run(Duration.ofSeconds(1));
        frozen.set(true);
        p.leave(p.processors.values().stream()
                .filter(h -> h.service().equals("plain"))
                .findFirst()
                .orElseThrow());
        p.network.sim.run(Duration.ofSeconds(6));
        p.calm();
        frozen.set(false);
    }
}

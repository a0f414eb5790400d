package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.NeverList;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** Counts on the fake clock, the same for everyone who runs it: see docs/measurements.md. */
public final class Measure {
    private Measure() {}

    /** What one run showed. */
    public record Figures(
            long accepted,
            long failed,
            long throttled,
            long otherRefusals,
            long atOnce,
            long waited,
            long asks,
            long frames,
            long syncs,
            double worstShare,
            List<String> violations) {
        public double throttledShare() {
            return throttled / (double) Math.max(1, accepted + throttled);
        }
    }

    /** Steady traffic in a fleet of a deployment's size; the fault, if any, strikes a third into the run. */
    public static Figures steady(
            long seed,
            int intakes,
            int stores,
            TestConfiguration testConfiguration,
            double perSecond,
            Duration length,
            java.util.function.Consumer<FleetSimulation> fault)
            throws ServiceException {
        FleetSimulation v =
                new FleetSimulation(seed, intakes, stores, 12, testConfiguration, World.LARGE_RING).embark();
        v.w.sim.run(Duration.ofSeconds(3));
        long frames = v.w.net.frames();
        long syncs = syncs(v);
        v.traffic(perSecond);
        v.w.sim.run(length.dividedBy(3));
        fault.accept(v);
        v.w.sim.run(length.multipliedBy(2).dividedBy(3));
        long framesUsed = v.w.net.frames() - frames;
        long syncsUsed = syncs(v) - syncs;
        boolean settled = v.settle(Duration.ofSeconds(120));
        List<String> bad = new ArrayList<>(v.violations());
        if (!settled) {
            bad.add("not all ended");
        }
        long[] passes = new long[3];
        for (String i : v.w.intakes) {
            if (v.w.host(i).alive()) {
                var c = v.w.pilot(i).tokenCounts();
                passes[0] += c.atOnce();
                passes[1] += c.waited();
                passes[2] += c.asks();
            }
        }
        Map<String, Long> k = new TreeMap<>(v.kinds());
        long accepted = k.getOrDefault("accepted", 0L);
        long throttled = k.getOrDefault("throttled", 0L);
        long other = k.values().stream().mapToLong(Long::longValue).sum() - accepted - throttled;
        long failed = v.w.seen.shown.stream()
                .filter(x -> x.state().equals("failed"))
                .map(Observations.Shown::handle)
                .distinct()
                .count();
        return new Figures(
                accepted,
                failed,
                throttled,
                other,
                passes[0],
                passes[1],
                passes[2],
                framesUsed,
                syncsUsed,
                worstShare(v.w.seen),
                bad);
    }

    /** Power lost everywhere, all started again at once: time until a submission of the given tenant is accepted. */
    public static Duration outage(long seed, int intakes, int stores, TestConfiguration testConfiguration)
            throws ServiceException {
        FleetSimulation v = new FleetSimulation(seed, intakes, stores, 4, testConfiguration, World.LARGE_RING).embark();
        v.traffic(60);
        v.w.sim.run(Duration.ofSeconds(5));
        v.calm();
        v.w.all().forEach(h -> v.w.host(h).powerLoss());
        v.w.sim.run(Duration.ofSeconds(1));
        for (String h : v.w.all()) {
            v.w.restart(h);
        }
        Duration begun = v.w.sim.now();
        FleetSimulation.require(
                v.w.sim.runUntil(
                        () -> {
                            v.plain(0);
                            return v.w.seen.submitted.stream()
                                    .anyMatch(h -> h.said() == Observations.Said.ACCEPTED
                                            && h.sent().compareTo(begun) > 0);
                        },
                        Duration.ofSeconds(30)),
                "no service after the outage");
        Duration took = v.w.sim.now().minus(begun);
        FleetSimulation.require(
                v.settle(Duration.ofSeconds(120)) && v.violations().isEmpty(), "lost after the outage");
        return took;
    }

    private static long syncs(FleetSimulation v) {
        return v.w.stores.stream().mapToLong(s -> v.w.host(s).disk.syncs()).sum();
    }

    /** The worst 5 s window of any tenant against its burst and rate. */
    private static double worstShare(Observations s) {
        double worst = 0;
        for (Map.Entry<String, List<Observations.Limit>> e : s.allowances().entrySet()) {
            List<Duration> at = s.copy(s.submitted).stream()
                    .filter(h ->
                            h.tenant().equals(e.getKey()) && h.said() == Observations.Said.ACCEPTED && !h.repeated())
                    .map(Observations.Submitted::answered)
                    .sorted()
                    .toList();
            double n = NeverList.worst(at);
            worst = Math.max(
                    worst,
                    n / (e.getValue().get(0).rate() * 5 + e.getValue().get(0).burst()));
        }
        return worst;
    }

    /** The holder of a tenant's bucket dies, the tenant asks for nearly all of its allowance: what is refused then. */
    private static void holders(TestConfiguration eight) throws ServiceException {
        List<Long> refused = new ArrayList<>();
        List<Long> sent = new ArrayList<>();
        for (long seed = 1; seed <= 10; seed++) {
            FleetSimulation v = new FleetSimulation(seed, 8, 3, 4, eight, World.LARGE_RING).embark();
            String holder = v.w.intakes.stream()
                    .filter(i -> v.w.pilot(i).ownedBuckets().contains("tenant/tenant0"))
                    .findFirst()
                    .orElseThrow();
            List<String> others =
                    v.w.intakes.stream().filter(i -> !i.equals(holder)).toList();
            for (int ms = 0; ms < 12000; ms += 25) {
                v.w.sim.after(Duration.ofMillis(ms), () -> v.plainAt(0, others));
            }
            v.w.sim.run(Duration.ofSeconds(4));
            Duration from = v.w.sim.now();
            v.w.kill(holder);
            v.w.sim.run(Duration.ofSeconds(8));
            FleetSimulation.require(
                    v.settle(Duration.ofSeconds(60)) && v.violations().isEmpty(), "not sound");
            List<Observations.Submitted> after = v.w.seen.submitted.stream()
                    .filter(h -> h.sent().compareTo(from) >= 0)
                    .toList();
            refused.add(after.stream().filter(h -> h.kind().equals("throttled")).count());
            sent.add(after.stream()
                    .filter(h -> h.kind().equals("throttled"))
                    .map(h -> h.sent().minus(from).toMillis())
                    .max(Long::compare)
                    .orElse(0L));
        }
        System.out.println("Refused of 320 in the 8 s after the holder died, ten seeds: " + refused);
        System.out.println("Last refusal, ms after: " + sent);
    }

    private static void row(String name, Figures f) {
        double n = Math.max(1, f.accepted());
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %d | %d (%.2f %%) | %d | %.2f | %.2f | %.2f | %.2f | %.2f | %d |%n",
                name,
                f.accepted(),
                f.failed(),
                f.throttled(),
                100 * f.throttledShare(),
                f.otherRefusals(),
                f.waited() / n,
                f.asks() / n,
                f.frames() / n,
                f.syncs() / n,
                f.worstShare(),
                f.violations().size());
        f.violations().stream().limit(3).forEach(v -> System.out.println("    " + v));
    }

    public static void main(String[] args) throws ServiceException {
        TestConfiguration eight = new TestConfiguration(8, 12, 45, 60, 26);
        if (args.length > 0 && args[0].equals("holder")) {
            holders(eight);
            return;
        }
        System.out.println("| run | accepted | failed later | throttled | other refusals | waited/msg | batch asks/msg "
                + "| frames/msg | syncs/msg | worst 5 s of burst and rate | violations |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|");
        Duration length = Duration.ofSeconds(30);
        if (args.length > 0 && args[0].equals("outage")) {
            List<Long> ms = new ArrayList<>();
            for (long seed = 1; seed <= 10; seed++) {
                ms.add(outage(seed, 8, 3, eight).toMillis());
            }
            System.out.println("First acceptance after the restart, ms on the fake clock, ten seeds: " + ms);
            return;
        }
        for (long seed = 1; seed <= 3; seed++) {
            row("lankavidya seed " + seed, steady(seed, 8, 3, eight, 270, length, v -> {}));
        }
        row("rotterdam", steady(1, 7, 4, new TestConfiguration(8, 12, 45, 60, 27), 270, length, v -> {}));
        row("tiny tenants 1/s of 2/s", steady(1, 8, 3, new TestConfiguration(8, 2, 2, 4, 26), 8, length, v -> {}));
        row("twice the allowance", steady(1, 8, 3, new TestConfiguration(8, 12, 15, 20, 26), 270, length, v -> {}));
        row("holder killed", steady(1, 8, 3, eight, 270, length, v -> v.w.kill(v.w.intakes.get(0))));
        row(
                "holder drained",
                steady(
                        1,
                        8,
                        3,
                        eight,
                        270,
                        length,
                        v -> v.w.pilot(v.w.intakes.get(0)).drain()));
        row("store killed", steady(1, 8, 3, eight, 270, length, v -> v.w.kill(v.w.stores.get(0))));
        row(
                "store drained",
                steady(
                        1,
                        8,
                        3,
                        eight,
                        270,
                        length,
                        v -> v.w.pilot(v.w.stores.get(0)).drain()));
        row("lighthouse killed", steady(1, 8, 3, eight, 270, length, v -> v.w.kill(v.w.lighthouses.get(0))));
    }
}

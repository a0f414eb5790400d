package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.Backend;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** What one tenant's excess does to the others: their accepted share and their delay, on the fake clock. */
public final class Fairness {
    private Fairness() {}

    /** Seen by the tenants other than the first. */
    public record Others(
            double acceptedShare,
            Duration median,
            Duration p95,
            long failed,
            long queueFull,
            List<String> violations) {}

    /** Tenant 0 sends many times the others' load; trouble makes the back ends slow or useless for it. */
    public static Others run(long seed, double flood, Backend.Manner manner, Duration allDown) throws ServiceException {
        TestConfiguration testConfiguration = new TestConfiguration(4, 2, 40, 60, 26);
        FleetSimulation v = new FleetSimulation(seed, 3, 3, 4, testConfiguration, World.LARGE_RING).embark();
        v.w.sim.run(Duration.ofSeconds(3));
        v.w.backends.entrySet().stream()
                .filter(e -> e.getKey().startsWith("p"))
                .forEach(e -> e.getValue().behave(manner));
        Duration begun = v.w.sim.now();
        every(v, 1, 3, 12, begun.plus(Duration.ofSeconds(20)));
        every(v, 0, 0, flood, begun.plus(Duration.ofSeconds(20)));
        if (!allDown.isZero()) {
            v.w.sim.after(Duration.ofSeconds(4), () -> v.w.backends.keySet().forEach(b -> v.w.post.down(b, true)));
            v.w.sim.after(
                    Duration.ofSeconds(4).plus(allDown),
                    () -> v.w.backends.keySet().forEach(b -> v.w.post.down(b, false)));
        }
        v.w.sim.run(Duration.ofSeconds(20));
        boolean settled = v.settle(Duration.ofSeconds(200));
        return figures(v, settled);
    }

    /** Messages of the lane without ordering, of tenants in turn. */
    private static void every(FleetSimulation v, int fromTenant, int toTenant, double perSecond, Duration until) {
        if (v.w.sim.now().compareTo(until) >= 0) {
            return;
        }
        int tenant = fromTenant + v.w.sim.random().nextInt(toTenant - fromTenant + 1);
        v.plain(tenant);
        v.w.sim.after(
                Duration.ofNanos((long) (1e9 / perSecond)), () -> every(v, fromTenant, toTenant, perSecond, until));
    }

    private static Others figures(FleetSimulation v, boolean settled) {
        Map<String, Duration> begun = new HashMap<>();
        v.w.seen.ran.forEach(r -> begun.merge(r.handle(), r.begun(), (a, b) -> a.compareTo(b) < 0 ? a : b));
        List<Duration> delays = new ArrayList<>();
        long accepted = 0;
        long all = 0;
        long full = 0;
        for (Observations.Submitted h : v.w.seen.submitted) {
            full += h.kind().equals("queue_full") ? 1 : 0;
            if (!h.tenant().equals(TestConfiguration.tenant(0))) {
                all++;
                if (h.said() == Observations.Said.ACCEPTED) {
                    accepted++;
                    delays.add(begun.getOrDefault(h.handle(), v.w.sim.now()).minus(h.answered()));
                }
            }
        }
        delays.sort(Comparator.naturalOrder());
        long failed = v.w.seen.shown.stream()
                .filter(x -> x.state().equals("failed"))
                .map(Observations.Shown::handle)
                .distinct()
                .count();
        List<String> bad = new ArrayList<>(v.violations());
        if (!settled) {
            bad.add("not all ended");
        }
        return new Others(
                accepted / (double) Math.max(1, all),
                delays.get(delays.size() / 2),
                delays.get(delays.size() * 95 / 100),
                failed,
                full,
                bad);
    }

    public static void main(String[] args) throws ServiceException {
        System.out.println(
                "| run | others accepted | others' median delay ms | p95 ms | failed, all tenants | queue_full | violations |");
        System.out.println("|---|---|---|---|---|---|---|");
        Backend.Manner good = Backend.Manner.good();
        Backend.Manner slow = new Backend.Manner(Duration.ofSeconds(2), 0, 0, 0);
        Backend.Manner poison =
                new Backend.Manner(Duration.ofMillis(300), 0.1, 0.85, 0, 0, TestConfiguration.tenant(0));
        row("calm", run(1, 4, good, Duration.ZERO));
        row("one tenant at 30 times", run(1, 120, good, Duration.ZERO));
        row("the same, slow processors", run(1, 120, slow, Duration.ZERO));
        row("the same, jobs that mostly fail", run(1, 120, poison, Duration.ZERO));
        row("the same, all back ends down 8 s", run(1, 120, good, Duration.ofSeconds(8)));
    }

    private static void row(String name, Others o) {
        System.out.printf(
                Locale.ROOT,
                "| %s | %.1f %% | %d | %d | %d | %d | %d |%n",
                name,
                100 * o.acceptedShare(),
                o.median().toMillis(),
                o.p95().toMillis(),
                o.failed(),
                o.queueFull(),
                o.violations().size());
        o.violations().stream().limit(3).forEach(x -> System.out.println("    " + x));
    }
}

package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.Backend;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** Measures, in simulated time, how one tenant's excess load affects the others' accepted share and delay. */
public final class Fairness {
    private Fairness() {}

    /** Results of the tenants other than tenant 0; {@code failed} and {@code queueFull} count all tenants. */
    public record Others(
            double acceptedShare,
            Duration median,
            Duration p95,
            long failed,
            long queueFull,
            List<String> violations) {}

    /**
     * Tenant 0 submits {@code flood} messages/s, the others 12 together. The processors behave as {@code manner} says, and
     * all back ends are down for {@code allDown}.
     */
    public static Others run(long seed, double flood, Backend.Behavior manner, Duration allDown)
            throws ServiceException {
        TestConfiguration testConfiguration = new TestConfiguration(4, 2, 40, 60, 26);
        FleetSimulation simulation =
                new FleetSimulation(seed, 3, 3, 4, testConfiguration, SimulatedFleet.LARGE_RING).startAll();
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        simulation.fleet.backends.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("p"))
                .forEach(entry -> entry.getValue().setBehavior(manner));
        Duration begun = simulation.fleet.sim.now();
        submitRegularly(simulation, 1, 3, 12, begun.plus(Duration.ofSeconds(20)));
        submitRegularly(simulation, 0, 0, flood, begun.plus(Duration.ofSeconds(20)));
        if (!allDown.isZero()) {
            simulation.fleet.sim.after(
                    Duration.ofSeconds(4),
                    () -> simulation
                            .fleet
                            .backends
                            .keySet()
                            .forEach(b -> simulation.fleet.deliveryNetwork.down(b, true)));
            simulation.fleet.sim.after(
                    Duration.ofSeconds(4).plus(allDown),
                    () -> simulation
                            .fleet
                            .backends
                            .keySet()
                            .forEach(b -> simulation.fleet.deliveryNetwork.down(b, false)));
        }
        simulation.fleet.sim.run(Duration.ofSeconds(20));
        boolean settled = simulation.settle(Duration.ofSeconds(200));
        return results(simulation, settled);
    }

    /** Submits to the lane without ordering at a fixed rate, each time for a random tenant of the range. */
    private static void submitRegularly(
            FleetSimulation simulation, int fromTenant, int toTenant, double perSecond, Duration until) {
        if (simulation.fleet.sim.now().compareTo(until) >= 0) {
            return;
        }
        int tenant = fromTenant + simulation.fleet.sim.random().nextInt(toTenant - fromTenant + 1);
        simulation.submitUnordered(tenant);
        simulation.fleet.sim.after(
                Duration.ofNanos((long) (1e9 / perSecond)),
                () -> submitRegularly(simulation, fromTenant, toTenant, perSecond, until));
    }

    private static Others results(FleetSimulation simulation, boolean settled) {
        Map<String, Duration> begun = new HashMap<>();
        simulation.fleet.observations.ran.forEach(
                ran -> begun.merge(ran.handle(), ran.begun(), (a, b) -> a.compareTo(b) < 0 ? a : b));
        List<Duration> delays = new ArrayList<>();
        long accepted = 0;
        long submissions = 0;
        long queueFull = 0;
        for (Observations.Submitted submitted : simulation.fleet.observations.submitted) {
            queueFull += submitted.kind().equals("queue_full") ? 1 : 0;
            if (!submitted.tenant().equals(TestConfiguration.tenant(0))) {
                submissions++;
                if (submitted.outcome() == Observations.SubmissionOutcome.ACCEPTED) {
                    accepted++;
                    delays.add(begun.getOrDefault(submitted.handle(), simulation.fleet.sim.now())
                            .minus(submitted.answered()));
                }
            }
        }
        delays.sort(Comparator.naturalOrder());
        long failed = simulation.fleet.observations.shown.stream()
                .filter(shown -> shown.state().equals("failed"))
                .map(Observations.StatusRead::handle)
                .distinct()
                .count();
        List<String> violations = new ArrayList<>(simulation.violations());
        if (!settled) {
            violations.add("not all messages ended");
        }
        return new Others(
                accepted / (double) Math.max(1, submissions),
                delays.get(delays.size() / 2),
                delays.get(delays.size() * 95 / 100),
                failed,
                queueFull,
                violations);
    }

    public static void main(String[] args) throws ServiceException {
        System.out.println(
                "| run | others accepted | others' median delay ms | p95 ms | failed, all tenants | queue_full | violations |");
        System.out.println("|---|---|---|---|---|---|---|");
        Backend.Behavior good = Backend.Behavior.good();
        Backend.Behavior slow = new Backend.Behavior(Duration.ofSeconds(2), 0, 0, 0);
        Backend.Behavior poison =
                new Backend.Behavior(Duration.ofMillis(300), 0.1, 0.85, 0, 0, TestConfiguration.tenant(0));
        row("calm", run(1, 4, good, Duration.ZERO));
        row("one tenant at 30 times", run(1, 120, good, Duration.ZERO));
        row("the same, slow processors", run(1, 120, slow, Duration.ZERO));
        row("the same, jobs that mostly fail", run(1, 120, poison, Duration.ZERO));
        row("the same, all back ends down 8 s", run(1, 120, good, Duration.ofSeconds(8)));
    }

    private static void row(String name, Others others) {
        System.out.printf(
                Locale.ROOT,
                "| %s | %.1f %% | %d | %d | %d | %d | %d |%n",
                name,
                100 * others.acceptedShare(),
                others.median().toMillis(),
                others.p95().toMillis(),
                others.failed(),
                others.queueFull(),
                others.violations().size());
        others.violations().stream().limit(3).forEach(violation -> System.out.println("    " + violation));
    }
}

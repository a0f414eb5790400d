package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.NeverList;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** Measurements in simulated time, which are the same on every machine: see docs/measurements.md. */
public final class Measure {
    private static final Duration RUN_LENGTH = Duration.ofSeconds(30);

    private Measure() {}

    /** The results of one run. */
    public record Figures(
            long accepted,
            long failed,
            long throttled,
            long otherRefusals,
            long admittedAtOnce,
            long waitedForTokens,
            long asks,
            long frames,
            long syncs,
            double worstShare,
            List<String> violations) {
        public double throttledShare() {
            return throttled / (double) Math.max(1, accepted + throttled);
        }
    }

    /** Runs steady traffic in a fleet of the given size; the fault, if any, is injected after a third of the run. */
    public static Figures steady(
            long seed,
            int intakes,
            int stores,
            TestConfiguration testConfiguration,
            double perSecond,
            Duration length,
            Consumer<FleetSimulation> fault)
            throws ServiceException {
        FleetSimulation simulation =
                new FleetSimulation(seed, intakes, stores, 12, testConfiguration, SimulatedFleet.LARGE_RING).startAll();
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        long frames = simulation.fleet.net.frames();
        long syncs = syncs(simulation);
        simulation.traffic(perSecond);
        simulation.fleet.sim.run(length.dividedBy(3));
        fault.accept(simulation);
        simulation.fleet.sim.run(length.multipliedBy(2).dividedBy(3));
        long framesUsed = simulation.fleet.net.frames() - frames;
        long syncsUsed = syncs(simulation) - syncs;
        boolean settled = simulation.settle(Duration.ofSeconds(120));
        List<String> violations = new ArrayList<>(simulation.violations());
        if (!settled) {
            violations.add("some accepted messages did not end");
        }
        long[] tokenCounts = new long[3];
        for (String i : simulation.fleet.intakes) {
            if (simulation.fleet.host(i).alive()) {
                var counts = simulation.fleet.dataPlaneNode(i).tokenCounts();
                tokenCounts[0] += counts.atOnce();
                tokenCounts[1] += counts.waited();
                tokenCounts[2] += counts.asks();
            }
        }
        Map<String, Long> kinds = new TreeMap<>(simulation.countsByOutcome());
        long accepted = kinds.getOrDefault("accepted", 0L);
        long throttled = kinds.getOrDefault("throttled", 0L);
        long other = kinds.values().stream().mapToLong(Long::longValue).sum() - accepted - throttled;
        long failed = simulation.fleet.observations.shown.stream()
                .filter(shown -> shown.state().equals("failed"))
                .map(Observations.StatusRead::handle)
                .distinct()
                .count();
        return new Figures(
                accepted,
                failed,
                throttled,
                other,
                tokenCounts[0],
                tokenCounts[1],
                tokenCounts[2],
                framesUsed,
                syncsUsed,
                worstShare(simulation.fleet.observations),
                violations);
    }

    /**
     * Restarts all machines at once after a power loss; returns the time until a submission of tenant 0 is accepted.
     */
    public static Duration outage(long seed, int intakes, int stores, TestConfiguration testConfiguration)
            throws ServiceException {
        FleetSimulation simulation =
                new FleetSimulation(seed, intakes, stores, 4, testConfiguration, SimulatedFleet.LARGE_RING).startAll();
        simulation.traffic(60);
        simulation.fleet.sim.run(Duration.ofSeconds(5));
        simulation.stopTraffic();
        simulation.fleet.all().forEach(h -> simulation.fleet.host(h).powerLoss());
        simulation.fleet.sim.run(Duration.ofSeconds(1));
        for (String h : simulation.fleet.all()) {
            simulation.fleet.restart(h);
        }
        Duration restarted = simulation.fleet.sim.now();
        FleetSimulation.require(
                simulation.fleet.sim.runUntil(
                        () -> {
                            simulation.submitUnordered(0);
                            return simulation.fleet.observations.submitted.stream()
                                    .anyMatch(
                                            submitted -> submitted.outcome() == Observations.SubmissionOutcome.ACCEPTED
                                                    && submitted.sent().compareTo(restarted) > 0);
                        },
                        Duration.ofSeconds(30)),
                "no submission was accepted within 30 s after the outage");
        Duration took = simulation.fleet.sim.now().minus(restarted);
        FleetSimulation.require(
                simulation.settle(Duration.ofSeconds(120))
                        && simulation.violations().isEmpty(),
                "messages did not end or rules were broken after the outage");
        return took;
    }

    private static long syncs(FleetSimulation simulation) {
        return simulation.fleet.stores.stream()
                .mapToLong(s -> simulation.fleet.host(s).disk.syncCount())
                .sum();
    }

    /** The largest share of its burst and rate that a tenant used in any window of 5 s. */
    private static double worstShare(Observations observations) {
        double worst = 0;
        for (Map.Entry<String, List<Observations.Limit>> entry :
                observations.allowances().entrySet()) {
            List<Duration> accepted = observations.copy(observations.submitted).stream()
                    .filter(submitted -> submitted.tenant().equals(entry.getKey())
                            && submitted.outcome() == Observations.SubmissionOutcome.ACCEPTED
                            && !submitted.repeated())
                    .map(Observations.Submitted::answered)
                    .sorted()
                    .toList();
            double largest = NeverList.maxInWindow(accepted);
            worst = Math.max(
                    worst,
                    largest
                            / (entry.getValue().get(0).rate() * 5
                                    + entry.getValue().get(0).burst()));
        }
        return worst;
    }

    /**
     * Kills the owner of a tenant's bucket while the tenant uses nearly all of its rate; prints the rejected requests.
     */
    private static void bucketOwnerFailure(TestConfiguration eight) throws ServiceException {
        List<Long> rejected = new ArrayList<>();
        List<Long> lastRejection = new ArrayList<>();
        for (long seed = 1; seed <= 10; seed++) {
            FleetSimulation simulation =
                    new FleetSimulation(seed, 8, 3, 4, eight, SimulatedFleet.LARGE_RING).startAll();
            String owner = simulation.fleet.intakes.stream()
                    .filter(i ->
                            simulation.fleet.dataPlaneNode(i).ownedBuckets().contains("tenant/tenant0"))
                    .findFirst()
                    .orElseThrow();
            List<String> others = simulation.fleet.intakes.stream()
                    .filter(i -> !i.equals(owner))
                    .toList();
            for (int ms = 0; ms < 12000; ms += 25) {
                simulation.fleet.sim.after(Duration.ofMillis(ms), () -> simulation.submitUnorderedAt(0, others));
            }
            simulation.fleet.sim.run(Duration.ofSeconds(4));
            Duration from = simulation.fleet.sim.now();
            simulation.fleet.kill(owner);
            simulation.fleet.sim.run(Duration.ofSeconds(8));
            FleetSimulation.require(
                    simulation.settle(Duration.ofSeconds(60))
                            && simulation.violations().isEmpty(),
                    "messages did not end or rules were broken");
            List<Observations.Submitted> after = simulation.fleet.observations.submitted.stream()
                    .filter(submitted -> submitted.sent().compareTo(from) >= 0)
                    .toList();
            rejected.add(after.stream()
                    .filter(submitted -> submitted.kind().equals("throttled"))
                    .count());
            lastRejection.add(after.stream()
                    .filter(submitted -> submitted.kind().equals("throttled"))
                    .map(submitted -> submitted.sent().minus(from).toMillis())
                    .max(Long::compare)
                    .orElse(0L));
        }
        System.out.println("Rejected of 320 in the 8 s after the bucket owner was killed, ten seeds: " + rejected);
        System.out.println("Last rejection, ms after the kill: " + lastRejection);
    }

    private static void row(String name, Figures figures) {
        double n = Math.max(1, figures.accepted());
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %d | %d (%.2f %%) | %d | %.2f | %.2f | %.2f | %.2f | %.2f | %d |%n",
                name,
                figures.accepted(),
                figures.failed(),
                figures.throttled(),
                100 * figures.throttledShare(),
                figures.otherRefusals(),
                figures.waitedForTokens() / n,
                figures.asks() / n,
                figures.frames() / n,
                figures.syncs() / n,
                figures.worstShare(),
                figures.violations().size());
        figures.violations().stream().limit(3).forEach(v -> System.out.println("    " + v));
    }

    public static void main(String[] args) throws ServiceException {
        TestConfiguration eight = new TestConfiguration(8, 12, 45, 60, 26);
        switch (args.length > 0 ? args[0] : "") {
            case "holder" -> bucketOwnerFailure(eight);
            case "outage" -> outages(eight);
            default -> {
                printHeader();
                steadyRuns(eight);
                runsWithFaults(eight);
            }
        }
    }

    private static void outages(TestConfiguration configuration) throws ServiceException {
        List<Long> ms = new ArrayList<>();
        for (long seed = 1; seed <= 10; seed++) {
            ms.add(outage(seed, 8, 3, configuration).toMillis());
        }
        System.out.println("First acceptance after the restart, ms of simulated time, ten seeds: " + ms);
    }

    private static void printHeader() {
        System.out.println(
                "| run | accepted | failed later | throttled | other rejections | waited/msg | token requests/msg "
                        + "| frames/msg | syncs/msg | worst 5 s of burst and rate | violations |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|");
    }

    private static void steadyRuns(TestConfiguration eight) throws ServiceException {
        for (long seed = 1; seed <= 3; seed++) {
            row("lankavidya seed " + seed, steady(seed, 8, 3, eight, 270, RUN_LENGTH, simulation -> {}));
        }
        TestConfiguration rotterdam = new TestConfiguration(8, 12, 45, 60, 27);
        row("rotterdam", steady(1, 7, 4, rotterdam, 270, RUN_LENGTH, simulation -> {}));
        TestConfiguration tiny = new TestConfiguration(8, 2, 2, 4, 26);
        row("tiny tenants 1/s of 2/s", steady(1, 8, 3, tiny, 8, RUN_LENGTH, simulation -> {}));
        TestConfiguration half = new TestConfiguration(8, 12, 15, 20, 26);
        row("twice the allowance", steady(1, 8, 3, half, 270, RUN_LENGTH, simulation -> {}));
    }

    private static void runsWithFaults(TestConfiguration eight) throws ServiceException {
        faultRow("holder killed", eight, fleet -> fleet.kill(fleet.intakes.get(0)));
        faultRow("holder drained", eight, fleet -> drain(fleet, fleet.intakes.get(0)));
        faultRow("store killed", eight, fleet -> fleet.kill(fleet.stores.get(0)));
        faultRow("store drained", eight, fleet -> drain(fleet, fleet.stores.get(0)));
        faultRow("control node killed", eight, fleet -> fleet.kill(fleet.controlNodes.get(0)));
    }

    private static void drain(SimulatedFleet fleet, String address) {
        fleet.dataPlaneNode(address).drain();
    }

    private static void faultRow(String name, TestConfiguration configuration, Consumer<SimulatedFleet> fault)
            throws ServiceException {
        row(name, steady(1, 8, 3, configuration, 270, RUN_LENGTH, simulation -> fault.accept(simulation.fleet)));
    }
}

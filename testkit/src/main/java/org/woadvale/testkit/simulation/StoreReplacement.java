package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ServiceNames;

/**
 * Simulated runs in which one store is replaced, or loses its disk, and the next tolerated loss follows as soon as the
 * first no longer counts (docs/design.md, section 6.9).
 */
public final class StoreReplacement {
    /** How the first store leaves the fleet. */
    public enum Departure {
        /** Its successor starts first; then the store drains and stops. */
        ANNOUNCED,
        /** It is lost without notice; its successor starts later. */
        UNANNOUNCED,
        /** It restarts at its address with an empty disk. */
        WIPED
    }

    /** The time until every replica of every group counted the successor as a voter, and the violations. */
    public record Outcome(Duration startToVotingEverywhere, List<String> violations) {}

    /** The time from a machine's start to the first instruction of the program. */
    private static final Duration PROCESS_START = Duration.ofMillis(2000);
    /** The time after its start at which the users count a machine as back. */
    private static final Duration ASSUMED_CATCH_UP = Duration.ofMillis(4100);

    private static final Duration NOT_BEFORE_SECOND_LOSS = Duration.ofDays(1);
    private static final Duration DRAIN_LIMIT = Duration.ofMillis(3500);
    private static final Duration DRAIN_STEP = Duration.ofMillis(50);
    /** The time that a drained program waits before it exits. */
    private static final Duration DELAY_BEFORE_EXIT = Duration.ofMillis(100);

    private static final Duration RESOLUTION = Duration.ofMillis(10);
    private static final Duration SERVICE_LIMIT = Duration.ofSeconds(30);
    private static final double MESSAGES_PER_SECOND = 40;

    private final FleetSimulation fleet;
    private final Simulator sim;
    /** The start of the successor's machine, or the start of the drain for an announced departure. */
    private Duration measuredFrom = Duration.ZERO;
    /** The time from which the first store no longer counts as lost. */
    private Duration secondLossFrom = Duration.ZERO;

    private StoreReplacement(long seed) throws ServiceException {
        fleet = new FleetSimulation(seed, 3, 3, 4).startAll();
        sim = fleet.fleet.sim;
    }

    /** Runs one seed; reports a violation if service does not recover after the second loss. */
    public static Outcome play(long seed, Departure departure) throws ServiceException {
        StoreReplacement run = new StoreReplacement(seed);
        return run.run(departure);
    }

    private Outcome run(Departure departure) throws ServiceException {
        fleet.traffic(MESSAGES_PER_SECOND);
        sim.run(Duration.ofSeconds(3).plus(sim.between(0, 2_000_000)));
        String first = fleet.fleet.stores.get(sim.random().nextInt(3));
        String successor = switch (departure) {
            case ANNOUNCED -> replaceAnnounced(first);
            case UNANNOUNCED -> replaceUnannounced(first);
            case WIPED -> restartWithEmptyDisk(first);
        };
        Duration votingAfter = timeUntilVotingEverywhere(successor);
        waitUntil(secondLossFrom.plus(sim.between(0, 1_500_000)));
        loseSecondStore();
        return finish(votingAfter);
    }

    private String replaceAnnounced(String leaver) throws ServiceException {
        Duration successorStart = sim.now();
        sim.run(PROCESS_START);
        String successor = fleet.fleet.newStore();
        waitUntil(successorStart.plus(ASSUMED_CATCH_UP).plus(sim.between(0, 6_000_000)));
        measuredFrom = sim.now();
        boolean drained = fleet.fleet.dataPlaneNode(leaver).drain();
        while (!drained && sim.now().minus(measuredFrom).compareTo(DRAIN_LIMIT) < 0) {
            sim.run(DRAIN_STEP);
            drained = fleet.fleet.dataPlaneNode(leaver).drain();
        }
        sim.run(DELAY_BEFORE_EXIT);
        fleet.fleet.losePermanently(leaver);
        secondLossFrom = sim.now();
        return successor;
    }

    private String replaceUnannounced(String store) throws ServiceException {
        fleet.fleet.losePermanently(store);
        sim.run(sim.between(1_000_000, 2_000_000));
        recordStart();
        sim.run(PROCESS_START);
        return fleet.fleet.newStore();
    }

    private String restartWithEmptyDisk(String store) throws ServiceException {
        fleet.fleet.kill(store);
        fleet.fleet.host(store).disk.wipe();
        sim.run(sim.between(100_000, 2_000_000));
        recordStart();
        sim.run(PROCESS_START);
        fleet.fleet.restart(store);
        return store;
    }

    private void recordStart() {
        measuredFrom = sim.now();
        secondLossFrom = measuredFrom.plus(ASSUMED_CATCH_UP);
    }

    private void waitUntil(Duration moment) {
        if (moment.compareTo(sim.now()) > 0) {
            sim.run(moment.minus(sim.now()));
        }
    }

    /**
     * The time until the successor votes everywhere; {@link #NOT_BEFORE_SECOND_LOSS} if that is after the second loss.
     */
    private Duration timeUntilVotingEverywhere(String successor) {
        while (!votingEverywhere(successor)) {
            if (sim.now().compareTo(secondLossFrom) >= 0) {
                return NOT_BEFORE_SECOND_LOSS;
            }
            sim.run(RESOLUTION);
        }
        return sim.now().minus(measuredFrom);
    }

    private boolean votingEverywhere(String successor) {
        Set<String> expected = new TreeSet<>(fleet.fleet.presentStores());
        return fleet.fleet.dataPlaneNode(successor).notVotingCount() == 0
                && fleet.fleet.presentStores().stream()
                        .allMatch(store -> fleet.fleet
                                                .dataPlaneNode(store)
                                                .partitionGroups()
                                                .size()
                                        == ServiceNames.MESSAGE_PARTITIONS
                                && fleet.fleet.dataPlaneNode(store).partitionGroups().values().stream()
                                        .allMatch(expected::equals))
                && fleet.fleet.dataPlaneNode(successor).votingEverywhere();
    }

    /** Loses one of the remaining stores, possibly the successor, together with its disk. */
    private void loseSecondStore() {
        List<String> present = new ArrayList<>(fleet.fleet.presentStores());
        Collections.sort(present);
        fleet.fleet.losePermanently(present.get(sim.random().nextInt(present.size())));
    }

    private Outcome finish(Duration votingAfter) {
        sim.run(Duration.ofSeconds(3));
        if (!sim.runUntil(this::everyPartitionIsLed, SERVICE_LIMIT)) {
            return new Outcome(votingAfter, List.of("partitions without a leader after the second loss"));
        }
        List<String> violations = new ArrayList<>();
        fleet.followExecuted();
        if (!fleet.settle(SERVICE_LIMIT)) {
            violations.add(
                    "an accepted message did not end: " + fleet.firstOpen().orElse(""));
        }
        violations.addAll(fleet.violations());
        return new Outcome(votingAfter, violations);
    }

    private boolean everyPartitionIsLed() {
        return fleet.fleet.presentStores().stream()
                        .mapToLong(store -> fleet.fleet.dataPlaneNode(store).ledPartitionCount())
                        .sum()
                == ServiceNames.MESSAGE_PARTITIONS;
    }

    /** Arguments: the first seed and the number of seeds; prints the distribution for each kind of departure. */
    public static void main(String[] arguments) throws ServiceException {
        long first = Long.parseLong(arguments[0]);
        int count = Integer.parseInt(arguments[1]);
        for (Departure departure : Departure.values()) {
            List<Long> millis = new ArrayList<>();
            int broken = 0;
            for (long seed = first; seed < first + count; seed++) {
                Outcome outcome = play(seed, departure);
                millis.add(outcome.startToVotingEverywhere().toMillis());
                if (!outcome.violations().isEmpty()) {
                    broken++;
                    System.out.println(departure + " seed " + seed + ": "
                            + outcome.violations().stream().limit(2).toList() + " votes everywhere after "
                            + outcome.startToVotingEverywhere().toMillis());
                }
            }
            Collections.sort(millis);
            System.out.println(
                    departure + ": " + count + " runs, " + broken + " broken; start to voting everywhere: p50 "
                            + millis.get(count / 2) + " ms, p99 " + millis.get(Math.max(0, count * 99 / 100 - 1))
                            + " ms, worst "
                            + millis.get(count - 1) + " ms");
        }
    }
}

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
 * Simulated days on which one store is replaced, or loses its disk, and the next tolerated loss follows as soon as the
 * first no longer counts. (docs/design.md, section 6.9)
 */
public final class StoreReplacement {
    /** How the first store goes. */
    public enum Departure {
        /** Its successor is there first, then it is told to stop. */
        ANNOUNCED,
        /** It is gone without a word, its successor starts later. */
        UNANNOUNCED,
        /** It comes back at its address, with an empty disk. */
        WIPED
    }

    /** What a day showed: until when each replica of each group knew that the successor counts, and broken rules. */
    public record Outcome(Duration startToCountedEverywhere, List<String> violations) {}

    /** From a machine's start to the first instruction of the program. */
    private static final Duration PROCESS_START = Duration.ofMillis(2000);
    /** The users count a machine as back so long after its start. */
    private static final Duration CATCH_UP = Duration.ofMillis(4100);

    private static final Duration NOT_IN_TIME = Duration.ofDays(1);
    private static final Duration DRAIN_LIMIT = Duration.ofMillis(3500);
    private static final Duration DRAIN_STEP = Duration.ofMillis(50);
    /** A program that has drained waits so long before it ends. */
    private static final Duration LAST_PAUSE = Duration.ofMillis(100);

    private static final Duration RESOLUTION = Duration.ofMillis(10);
    private static final Duration SERVICE_LIMIT = Duration.ofSeconds(30);
    private static final double MESSAGES_PER_SECOND = 40;

    private final FleetSimulation fleet;
    private final Simulator sim;
    /** The successor's start, or the moment at which the leaver was told to stop. */
    private Duration measuredFrom = Duration.ZERO;
    /** From here on the first store no longer counts as lost. */
    private Duration secondLossFrom = Duration.ZERO;

    private StoreReplacement(long seed) throws ServiceException {
        fleet = new FleetSimulation(seed, 3, 3, 4).startAll();
        sim = fleet.w.sim;
    }

    /** Plays one day; fails if service does not come back after the second loss. */
    public static Outcome play(long seed, Departure departure) throws ServiceException {
        StoreReplacement day = new StoreReplacement(seed);
        return day.run(departure);
    }

    private Outcome run(Departure departure) throws ServiceException {
        fleet.traffic(MESSAGES_PER_SECOND);
        sim.run(Duration.ofSeconds(3).plus(sim.between(0, 2_000_000)));
        String first = fleet.w.stores.get(sim.random().nextInt(3));
        String successor = switch (departure) {
            case ANNOUNCED -> announced(first);
            case UNANNOUNCED -> unannounced(first);
            case WIPED -> wiped(first);
        };
        Duration counted = untilCounted(successor);
        waitUntil(secondLossFrom.plus(sim.between(0, 1_500_000)));
        secondLoss();
        return end(counted);
    }

    private String announced(String leaver) throws ServiceException {
        Duration successorStart = sim.now();
        sim.run(PROCESS_START);
        String successor = fleet.w.newStore();
        waitUntil(successorStart.plus(CATCH_UP).plus(sim.between(0, 6_000_000)));
        measuredFrom = sim.now();
        boolean drained = fleet.w.dataPlaneNode(leaver).drain();
        while (!drained && sim.now().minus(measuredFrom).compareTo(DRAIN_LIMIT) < 0) {
            sim.run(DRAIN_STEP);
            drained = fleet.w.dataPlaneNode(leaver).drain();
        }
        sim.run(LAST_PAUSE);
        fleet.w.lose(leaver);
        secondLossFrom = sim.now();
        return successor;
    }

    private String unannounced(String gone) throws ServiceException {
        fleet.w.lose(gone);
        sim.run(sim.between(1_000_000, 2_000_000));
        startsNow();
        sim.run(PROCESS_START);
        return fleet.w.newStore();
    }

    private String wiped(String store) throws ServiceException {
        fleet.w.kill(store);
        fleet.w.host(store).disk.wipe();
        sim.run(sim.between(100_000, 2_000_000));
        startsNow();
        sim.run(PROCESS_START);
        fleet.w.restart(store);
        return store;
    }

    private void startsNow() {
        measuredFrom = sim.now();
        secondLossFrom = measuredFrom.plus(CATCH_UP);
    }

    private void waitUntil(Duration moment) {
        if (moment.compareTo(sim.now()) > 0) {
            sim.run(moment.minus(sim.now()));
        }
    }

    /** The time it took, or {@link #NOT_IN_TIME} if it is not so when the second loss may come. */
    private Duration untilCounted(String successor) {
        while (!countedEverywhere(successor)) {
            if (sim.now().compareTo(secondLossFrom) >= 0) {
                return NOT_IN_TIME;
            }
            sim.run(RESOLUTION);
        }
        return sim.now().minus(measuredFrom);
    }

    private boolean countedEverywhere(String successor) {
        Set<String> expected = new TreeSet<>(fleet.w.presentStores());
        return fleet.w.dataPlaneNode(successor).notVotingCount() == 0
                && fleet.w.presentStores().stream()
                        .allMatch(store ->
                                fleet.w.dataPlaneNode(store).partitionGroups().size() == ServiceNames.MESSAGE_PARTITIONS
                                        && fleet.w.dataPlaneNode(store).partitionGroups().values().stream()
                                                .allMatch(expected::equals))
                && fleet.w.dataPlaneNode(successor).votingEverywhere();
    }

    /** Any of the stores that count, the successor too; its disk is lost with it. */
    private void secondLoss() {
        List<String> present = new ArrayList<>(fleet.w.presentStores());
        Collections.sort(present);
        fleet.w.lose(present.get(sim.random().nextInt(present.size())));
    }

    private Outcome end(Duration counted) {
        sim.run(Duration.ofSeconds(3));
        if (!sim.runUntil(this::everyPartitionIsLed, SERVICE_LIMIT)) {
            return new Outcome(counted, List.of("partitions without a leader after the second loss"));
        }
        List<String> violations = new ArrayList<>();
        fleet.followWhatRan();
        if (!fleet.settle(SERVICE_LIMIT)) {
            violations.add(
                    "an accepted message has no end: " + fleet.firstOpen().orElse(""));
        }
        violations.addAll(fleet.violations());
        return new Outcome(counted, violations);
    }

    private boolean everyPartitionIsLed() {
        return fleet.w.presentStores().stream()
                        .mapToLong(store -> fleet.w.dataPlaneNode(store).ledPartitionCount())
                        .sum()
                == ServiceNames.MESSAGE_PARTITIONS;
    }

    /** Arguments: the first seed and how many; prints the distribution of each kind of departure. */
    public static void main(String[] arguments) throws ServiceException {
        long first = Long.parseLong(arguments[0]);
        int count = Integer.parseInt(arguments[1]);
        for (Departure departure : Departure.values()) {
            List<Long> millis = new ArrayList<>();
            int broken = 0;
            for (long seed = first; seed < first + count; seed++) {
                Outcome outcome = play(seed, departure);
                millis.add(outcome.startToCountedEverywhere().toMillis());
                if (!outcome.violations().isEmpty()) {
                    broken++;
                    System.out.println(departure + " seed " + seed + ": "
                            + outcome.violations().stream().limit(2).toList() + " counted after "
                            + outcome.startToCountedEverywhere().toMillis());
                }
            }
            Collections.sort(millis);
            System.out.println(
                    departure + ": " + count + " days, " + broken + " broken; start to counted everywhere: p50 "
                            + millis.get(count / 2) + " ms, p99 " + millis.get(Math.max(0, count * 99 / 100 - 1))
                            + " ms, worst "
                            + millis.get(count - 1) + " ms");
        }
    }
}

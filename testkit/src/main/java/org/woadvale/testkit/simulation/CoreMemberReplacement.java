package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.Role;

/**
 * Measures how long the core takes to make a new machine a voter in every control partition after a member has left.
 * (docs/design.md, section 6.10)
 */
public final class CoreMemberReplacement {
    /** How the member to be replaced leaves. */
    public enum Departure {
        /** It fails without notice, before its successor starts. */
        LOST,
        /** It drains and stops once its successor runs. */
        PLANNED,
        /** It restarts at its own address with an empty disk. */
        WIPED
    }

    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final Duration WARM_UP = Duration.ofSeconds(3);

    private CoreMemberReplacement() {}

    /** From the loss to the start of the successor: the platform's own pause plus the start of a process. */
    private static final Duration SUCCESSOR_AFTER = Duration.ofMillis(1900);

    /** The time from the successor's start until it votes in every control partition. */
    public static Duration measure(long seed, Departure departure) throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(seed, 2, 3, 2).startAll();
        SimulatedFleet fleet = simulation.fleet;
        fleet.sim.run(WARM_UP.plus(fleet.sim.between(0, 1_000_000)));
        String leaver = fleet.controlNodes.get((int) Math.floorMod(seed, 3L));
        String successor = replace(fleet, leaver, departure);
        Duration started = fleet.sim.now();
        boolean planned = departure == Departure.PLANNED;
        while (!votesEverywhere(fleet, successor)) {
            FleetSimulation.require(
                    fleet.sim.now().minus(started).compareTo(LIMIT) < 0,
                    "the successor does not vote in every control partition after " + LIMIT + ", seed " + seed);
            if (planned
                    && fleet.host(leaver).alive()
                    && fleet.controlNode(leaver).drain()) {
                fleet.losePermanently(leaver);
            }
            fleet.sim.run(STEP);
        }
        return fleet.sim.now().minus(started);
    }

    private static String replace(SimulatedFleet fleet, String leaver, Departure departure) throws ServiceException {
        if (departure == Departure.PLANNED) {
            return fleet.newControlNode();
        }
        fleet.kill(leaver);
        fleet.sim.run(SUCCESSOR_AFTER);
        if (departure == Departure.WIPED) {
            fleet.host(leaver).disk.wipe();
            fleet.restart(leaver);
            return leaver;
        }
        fleet.losePermanently(leaver);
        return fleet.newControlNode();
    }

    /** Whether a control node is a voting member of all control partitions, according to its own state. */
    public static boolean votesEverywhere(SimulatedFleet fleet, String node) {
        return ServiceNames.controlPartitions().stream()
                .map(partition -> fleet.controlNode(node).replica(partition))
                .allMatch(replica -> replica.role() != Role.UNINITIALIZED
                        && replica.members().containsKey(node));
    }

    /** The sorted times of {@code count} consecutive seeds. */
    public static List<Duration> measure(long firstSeed, int count, Departure departure) throws ServiceException {
        List<Duration> times = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            times.add(measure(firstSeed + i, departure));
        }
        times.sort(Duration::compareTo);
        return times;
    }
}

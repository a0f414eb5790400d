package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.Role;

/**
 * Measures how long the core takes to make a new machine a voter everywhere after a member is gone. (docs/design.md,
 * section 6.10)
 */
public final class CoreExchange {
    /** How the member that is to be replaced goes. */
    public enum Departure {
        /** Without a word, and before its successor starts. */
        LOST,
        /** It stops in order once its successor runs. */
        PLANNED,
        /** It comes back at its own address with an empty disk. */
        WIPED
    }

    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final Duration REST = Duration.ofSeconds(3);

    private CoreExchange() {}

    /** From the loss to the start of the successor: the platform's own pause and the start of a process. */
    private static final Duration SUCCESSOR_AFTER = Duration.ofMillis(1900);

    /** The time from the successor's first step until it votes in every control partition. */
    public static Duration measure(long seed, Departure departure) throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(seed, 2, 3, 2).startAll();
        SimulatedFleet world = simulation.w;
        world.sim.run(REST.plus(world.sim.between(0, 1_000_000)));
        String leaver = world.controlNodes.get((int) Math.floorMod(seed, 3L));
        String successor = replace(world, leaver, departure);
        Duration started = world.sim.now();
        boolean planned = departure == Departure.PLANNED;
        while (!votesEverywhere(world, successor)) {
            FleetSimulation.require(
                    world.sim.now().minus(started).compareTo(LIMIT) < 0, "no voter after " + LIMIT + ", seed " + seed);
            if (planned
                    && world.host(leaver).alive()
                    && world.controlNode(leaver).drain()) {
                world.lose(leaver);
            }
            world.sim.run(STEP);
        }
        return world.sim.now().minus(started);
    }

    private static String replace(SimulatedFleet world, String leaver, Departure departure) throws ServiceException {
        if (departure == Departure.PLANNED) {
            return world.newControlNode();
        }
        world.kill(leaver);
        world.sim.run(SUCCESSOR_AFTER);
        if (departure == Departure.WIPED) {
            world.host(leaver).disk.wipe();
            world.restart(leaver);
            return leaver;
        }
        world.lose(leaver);
        return world.newControlNode();
    }

    /** Whether a control node is a voting member of all control partitions, by its own knowledge. */
    public static boolean votesEverywhere(SimulatedFleet world, String node) {
        return ServiceNames.controlPartitions().stream()
                .map(p -> world.controlNode(node).replica(p))
                .allMatch(replica -> replica.role() != Role.UNINITIALIZED
                        && replica.members().containsKey(node));
    }

    /** The sorted times of so many seeds. */
    public static List<Duration> measure(long firstSeed, int count, Departure departure) throws ServiceException {
        List<Duration> times = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            times.add(measure(firstSeed + i, departure));
        }
        times.sort(Duration::compareTo);
        return times;
    }
}

package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.FaultTolerance;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.testkit.stub.TestConfiguration;

/**
 * Fleets that tolerate the simultaneous loss of two machines with their disks. Guards against groups of three
 * regardless of the fault tolerance: two lost disks of five removed the majority of a group (review/2).
 */
class TwoLossesTest {
    private static final FaultTolerance TWO_MACHINES = FaultTolerance.machines(2);
    private static final int GROUP_SIZE = 5;
    private static final double MESSAGES_PER_SECOND = 40;
    private static final Duration DOWNTIME = Duration.ofSeconds(2);
    /** The users count a machine as back this long after its start; the start of the process takes 2 s of it. */
    private static final Duration CATCH_UP = Duration.ofSeconds(4);

    private static final Duration SERVICE_LIMIT = Duration.ofSeconds(30);

    private static FleetSimulation fleet(long seed, int stores) throws ServiceException {
        return new FleetSimulation(
                        seed,
                        3,
                        stores,
                        4,
                        new TestConfiguration(3, 2, 20, 30, 26),
                        SimulatedFleet.SMALL_RING,
                        FleetOverrides.none().withFaultTolerance(TWO_MACHINES))
                .startAll();
    }

    private static boolean storeGroupsHave(FleetSimulation fleet, int members) {
        return fleet.fleet.presentStores().stream()
                .map(store -> fleet.fleet.dataPlaneNode(store).partitionGroups())
                .allMatch(groups -> groups.values().stream().allMatch(group -> group.size() == members));
    }

    private static boolean everyReplicaVotes(FleetSimulation fleet) {
        return storeGroupsHave(fleet, GROUP_SIZE)
                && fleet.fleet.presentStores().stream()
                        .map(fleet.fleet::dataPlaneNode)
                        .allMatch(store -> store.partitionGroups().size() == ServiceNames.MESSAGE_PARTITIONS
                                && store.notVotingCount() == 0
                                && store.votingEverywhere());
    }

    private static void loseDisks(FleetSimulation fleet, List<String> machines) throws ServiceException {
        for (String machine : machines) {
            fleet.fleet.kill(machine);
            fleet.fleet.host(machine).disk.wipe();
        }
        fleet.fleet.sim.run(DOWNTIME);
        for (String machine : machines) {
            fleet.fleet.restart(machine);
        }
    }

    private static List<String> pickTwo(FleetSimulation fleet, List<String> machines) {
        List<String> shuffled = new ArrayList<>(machines);
        Collections.shuffle(shuffled, fleet.fleet.sim.random());
        return shuffled.subList(0, 2);
    }

    private static void assertNothingLost(FleetSimulation fleet) {
        fleet.fleet.sim.run(Duration.ofSeconds(5));
        fleet.followExecuted();
        assertTrue(
                fleet.settle(SERVICE_LIMIT),
                () -> "an accepted message has not reached a terminal state: " + fleet.firstOpen());
        assertEquals(List.of(), fleet.violations());
    }

    /** Two pairs of stores lose their disks, the second as soon as every replica of the first votes again. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void twoStoresLosingTheirDisksLoseNoMessage(long seed) throws ServiceException {
        FleetSimulation fleet = fleet(seed, GROUP_SIZE);
        assertTrue(fleet.fleet.sim.runUntil(() -> storeGroupsHave(fleet, GROUP_SIZE), Duration.ofSeconds(20)));
        fleet.traffic(MESSAGES_PER_SECOND);
        fleet.fleet.sim.run(Duration.ofSeconds(6).plus(fleet.fleet.sim.between(0, 2_000_000)));
        loseDisks(fleet, pickTwo(fleet, fleet.fleet.stores));
        assertTrue(
                fleet.fleet.sim.runUntil(() -> everyReplicaVotes(fleet), CATCH_UP),
                "not all replicas vote after " + CATCH_UP);
        loseDisks(fleet, pickTwo(fleet, fleet.fleet.stores));
        assertNothingLost(fleet);
    }

    /** A store is lost permanently and another loses its disk; the rest continue, and a new store completes the group. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void lossDuringAReplacementLosesNoMessage(long seed) throws ServiceException {
        FleetSimulation fleet = fleet(seed, GROUP_SIZE);
        fleet.traffic(MESSAGES_PER_SECOND);
        fleet.fleet.sim.run(Duration.ofSeconds(6));
        List<String> pair = pickTwo(fleet, fleet.fleet.stores);
        fleet.fleet.losePermanently(pair.get(0));
        fleet.fleet.newStore();
        fleet.fleet.sim.run(Duration.ofMillis(200).plus(fleet.fleet.sim.between(0, 1_500_000)));
        loseDisks(fleet, List.of(pair.get(1)));
        assertTrue(
                fleet.fleet.sim.runUntil(() -> everyReplicaVotes(fleet), Duration.ofSeconds(20)),
                "not all replicas vote with seed " + seed);
        assertNothingLost(fleet);
    }

    /** A fleet that starts with three stores has groups of three, which grow when two more stores join. */
    @Test
    void groupsGrowWhenStoresJoin() throws ServiceException {
        FleetSimulation fleet = fleet(7, FaultTolerance.SMALLEST_GROUP);
        assertTrue(storeGroupsHave(fleet, FaultTolerance.SMALLEST_GROUP));
        fleet.traffic(MESSAGES_PER_SECOND);
        fleet.fleet.newStore();
        fleet.fleet.sim.run(Duration.ofSeconds(10));
        assertTrue(
                storeGroupsHave(fleet, FaultTolerance.SMALLEST_GROUP),
                "the groups grew, although a fourth replica tolerates no more losses");
        fleet.fleet.newStore();
        assertTrue(
                fleet.fleet.sim.runUntil(() -> everyReplicaVotes(fleet), Duration.ofSeconds(20)),
                "the groups did not grow");
        loseDisks(fleet, pickTwo(fleet, fleet.fleet.stores));
        assertNothingLost(fleet);
    }

    /** A store lost permanently before its partitions are bootstrapped does not prevent the others from doing so. */
    @Test
    void groupsAreBootstrappedWithoutALostStore() throws ServiceException {
        FleetSimulation fleet = new FleetSimulation(
                8,
                3,
                GROUP_SIZE,
                4,
                new TestConfiguration(3, 2, 20, 30, 26),
                SimulatedFleet.SMALL_RING,
                FleetOverrides.none().withFaultTolerance(TWO_MACHINES));
        assertTrue(fleet.fleet.sim.runUntil(
                () -> !fleet.fleet
                        .dataPlaneNode(fleet.fleet.stores.get(1))
                        .partitionGroups()
                        .isEmpty(),
                Duration.ofSeconds(20)));
        fleet.fleet.losePermanently(fleet.fleet.stores.get(2));
        fleet.startAll();
        fleet.traffic(MESSAGES_PER_SECOND);
        fleet.fleet.sim.run(Duration.ofSeconds(5));
        assertNothingLost(fleet);
    }

    /** The core grows to five members by itself; then two of them lose the disks that hold the configuration. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24})
    void twoControlNodesLosingTheirDisksLoseNoConfiguration(long seed) throws ServiceException {
        FleetSimulation fleet = fleet(seed, GROUP_SIZE);
        fleet.fleet.newControlNodeWithInitialSettings();
        fleet.fleet.newControlNodeWithInitialSettings();
        assertTrue(
                fleet.fleet.sim.runUntil(() -> coreIsComplete(fleet), Duration.ofSeconds(8)), "the core did not grow");
        assertConfigurationAccepted(fleet, "before");
        loseDisks(fleet, pickTwo(fleet, fleet.fleet.controlNodes));
        assertConfigurationAccepted(fleet, "after");
        assertTrue(
                fleet.fleet.sim.runUntil(() -> coreIsComplete(fleet), CATCH_UP),
                "the core is not complete after " + CATCH_UP);
        loseDisks(fleet, pickTwo(fleet, fleet.fleet.controlNodes));
        fleet.read();
        assertConfigurationAccepted(fleet, "after-the-second-loss");
        assertEquals(List.of(), fleet.violations());
    }

    /** With four control machines the core stays at three: a fourth member would not tolerate more losses. */
    @Test
    void fourthControlNodeStaysOnStandby() throws ServiceException {
        FleetSimulation fleet = fleet(25, GROUP_SIZE);
        String fourth = fleet.fleet.newControlNodeWithInitialSettings();
        fleet.fleet.sim.run(Duration.ofSeconds(8));
        Set<String> members = new TreeSet<>(fleet.fleet
                .controlNode(fleet.fleet.controlNodes.get(0))
                .members()
                .members());
        assertEquals(FaultTolerance.SMALLEST_GROUP, members.size());
        assertTrue(!members.contains(fourth));
    }

    private static boolean coreIsComplete(FleetSimulation fleet) {
        return fleet.fleet.presentControlNodes().stream()
                .allMatch(node -> CoreMemberReplacement.votesEverywhere(fleet.fleet, node)
                        && ServiceNames.controlPartitions().stream()
                                .allMatch(partition -> fleet.fleet
                                                .controlNode(node)
                                                .replica(partition)
                                                .members()
                                                .size()
                                        == GROUP_SIZE));
    }

    private static void assertConfigurationAccepted(FleetSimulation fleet, String id) {
        AtomicInteger status = new AtomicInteger();
        fleet.put(fleet.configuration, fleet.version, id, response -> status.set(response.status()));
        assertTrue(
                fleet.fleet.sim.runUntil(() -> status.get() == 200, Duration.ofSeconds(8)), id + ": " + status.get());
    }
}

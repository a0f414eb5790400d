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
 * Fleets that bear the loss of two machines at once, with their disks. Guards against groups of three whatever the
 * fault tolerance: two lost disks of five took the majority of a group with them (review/2).
 */
class TwoLossesTest {
    private static final FaultTolerance TWO = FaultTolerance.machines(2);
    private static final int GROUP = 5;
    private static final double MESSAGES_PER_SECOND = 40;
    private static final Duration AWAY = Duration.ofSeconds(2);
    /** The users count a machine as back so long after its start; the start of the process takes two of them. */
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
                        FleetOverrides.none().withFaultTolerance(TWO))
                .startAll();
    }

    private static boolean storeGroupsHave(FleetSimulation fleet, int members) {
        return fleet.w.presentStores().stream()
                .map(store -> fleet.w.dataPlaneNode(store).partitionGroups())
                .allMatch(groups -> groups.values().stream().allMatch(group -> group.size() == members));
    }

    private static boolean everyReplicaCounts(FleetSimulation fleet) {
        return storeGroupsHave(fleet, GROUP)
                && fleet.w.presentStores().stream()
                        .map(fleet.w::dataPlaneNode)
                        .allMatch(store -> store.partitionGroups().size() == ServiceNames.MESSAGE_PARTITIONS
                                && store.notVotingCount() == 0
                                && store.votingEverywhere());
    }

    private static void loseDisks(FleetSimulation fleet, List<String> machines) throws ServiceException {
        for (String machine : machines) {
            fleet.w.kill(machine);
            fleet.w.host(machine).disk.wipe();
        }
        fleet.w.sim.run(AWAY);
        for (String machine : machines) {
            fleet.w.restart(machine);
        }
    }

    private static List<String> twoOf(FleetSimulation fleet, List<String> machines) {
        List<String> shuffled = new ArrayList<>(machines);
        Collections.shuffle(shuffled, fleet.w.sim.random());
        return shuffled.subList(0, 2);
    }

    private static void nothingIsLost(FleetSimulation fleet) {
        fleet.w.sim.run(Duration.ofSeconds(5));
        fleet.followWhatRan();
        assertTrue(fleet.settle(SERVICE_LIMIT), () -> "an accepted message has no end: " + fleet.firstOpen());
        assertEquals(List.of(), fleet.violations());
    }

    /** Two pairs of stores lose their disks, the second as soon as the first counts again. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void twoStoresThatLoseTheirDisksLoseNoMessage(long seed) throws ServiceException {
        FleetSimulation fleet = fleet(seed, GROUP);
        assertTrue(fleet.w.sim.runUntil(() -> storeGroupsHave(fleet, GROUP), Duration.ofSeconds(20)));
        fleet.traffic(MESSAGES_PER_SECOND);
        fleet.w.sim.run(Duration.ofSeconds(6).plus(fleet.w.sim.between(0, 2_000_000)));
        loseDisks(fleet, twoOf(fleet, fleet.w.stores));
        assertTrue(
                fleet.w.sim.runUntil(() -> everyReplicaCounts(fleet), CATCH_UP), "not whole again after " + CATCH_UP);
        loseDisks(fleet, twoOf(fleet, fleet.w.stores));
        nothingIsLost(fleet);
    }

    /** One goes for good while another has lost its disk; the others go on, and a newcomer makes the group whole. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void aLossDuringAReplacementLosesNoMessage(long seed) throws ServiceException {
        FleetSimulation fleet = fleet(seed, GROUP);
        fleet.traffic(MESSAGES_PER_SECOND);
        fleet.w.sim.run(Duration.ofSeconds(6));
        List<String> two = twoOf(fleet, fleet.w.stores);
        fleet.w.lose(two.get(0));
        fleet.w.newStore();
        fleet.w.sim.run(Duration.ofMillis(200).plus(fleet.w.sim.between(0, 1_500_000)));
        loseDisks(fleet, List.of(two.get(1)));
        assertTrue(
                fleet.w.sim.runUntil(() -> everyReplicaCounts(fleet), Duration.ofSeconds(20)),
                "not whole with seed " + seed);
        nothingIsLost(fleet);
    }

    /** A fleet that begins with three stores has groups of three, and grows them when two more come. */
    @Test
    void groupsGrowWhenStoresCome() throws ServiceException {
        FleetSimulation fleet = fleet(7, FaultTolerance.SMALLEST_GROUP);
        assertTrue(storeGroupsHave(fleet, FaultTolerance.SMALLEST_GROUP));
        fleet.traffic(MESSAGES_PER_SECOND);
        fleet.w.newStore();
        fleet.w.sim.run(Duration.ofSeconds(10));
        assertTrue(storeGroupsHave(fleet, FaultTolerance.SMALLEST_GROUP), "a fourth replica bears no more losses");
        fleet.w.newStore();
        assertTrue(fleet.w.sim.runUntil(() -> everyReplicaCounts(fleet), Duration.ofSeconds(20)), "not grown");
        loseDisks(fleet, twoOf(fleet, fleet.w.stores));
        nothingIsLost(fleet);
    }

    /** A store that goes for good before its partitions are founded does not keep the others from founding them. */
    @Test
    void groupsAreFoundedWithoutAStoreThatIsGone() throws ServiceException {
        FleetSimulation fleet = new FleetSimulation(
                8,
                3,
                GROUP,
                4,
                new TestConfiguration(3, 2, 20, 30, 26),
                SimulatedFleet.SMALL_RING,
                FleetOverrides.none().withFaultTolerance(TWO));
        assertTrue(fleet.w.sim.runUntil(
                () -> !fleet.w
                        .dataPlaneNode(fleet.w.stores.get(1))
                        .partitionGroups()
                        .isEmpty(),
                Duration.ofSeconds(20)));
        fleet.w.lose(fleet.w.stores.get(2));
        fleet.startAll();
        fleet.traffic(MESSAGES_PER_SECOND);
        fleet.w.sim.run(Duration.ofSeconds(5));
        nothingIsLost(fleet);
    }

    /** The core grows to five members by itself; then two of them lose their disks with the configuration. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24})
    void twoControlNodesThatLoseTheirDisksLoseNoConfiguration(long seed) throws ServiceException {
        FleetSimulation fleet = fleet(seed, GROUP);
        fleet.w.newControlNodeFirstSettings();
        fleet.w.newControlNodeFirstSettings();
        assertTrue(fleet.w.sim.runUntil(() -> coreIsWhole(fleet), Duration.ofSeconds(8)), "the core did not grow");
        configurationIsTaken(fleet, "before");
        loseDisks(fleet, twoOf(fleet, fleet.w.controlNodes));
        configurationIsTaken(fleet, "after");
        assertTrue(fleet.w.sim.runUntil(() -> coreIsWhole(fleet), CATCH_UP), "not whole again after " + CATCH_UP);
        loseDisks(fleet, twoOf(fleet, fleet.w.controlNodes));
        fleet.read();
        configurationIsTaken(fleet, "after-the-second-loss");
        assertEquals(List.of(), fleet.violations());
    }

    /** With four control machines the core stays at three: the fourth would bear no more losses. */
    @Test
    void aFourthControlNodeStandsBy() throws ServiceException {
        FleetSimulation fleet = fleet(25, GROUP);
        String fourth = fleet.w.newControlNodeFirstSettings();
        fleet.w.sim.run(Duration.ofSeconds(8));
        Set<String> members = new TreeSet<>(
                fleet.w.controlNode(fleet.w.controlNodes.get(0)).members().members());
        assertEquals(FaultTolerance.SMALLEST_GROUP, members.size());
        assertTrue(!members.contains(fourth));
    }

    private static boolean coreIsWhole(FleetSimulation fleet) {
        return fleet.w.presentControlNodes().stream()
                .allMatch(node -> CoreExchange.votesEverywhere(fleet.w, node)
                        && ServiceNames.controlPartitions().stream()
                                .allMatch(partition -> fleet.w
                                                .controlNode(node)
                                                .replica(partition)
                                                .members()
                                                .size()
                                        == GROUP));
    }

    private static void configurationIsTaken(FleetSimulation fleet, String id) {
        AtomicInteger status = new AtomicInteger();
        fleet.put(fleet.configuration, fleet.version, id, response -> status.set(response.status()));
        assertTrue(fleet.w.sim.runUntil(() -> status.get() == 200, Duration.ofSeconds(8)), id + ": " + status.get());
    }
}

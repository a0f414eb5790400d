package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.Role;

/**
 * A control machine that is gone for good is exchanged by the core itself, before the next loss may come.
 * (docs/design.md, section 6.10)
 */
class CoreReplacementTest {
    /** The shortest time after the start of a successor at which the next machine may be lost. */
    private static final Duration CATCH_UP = Duration.ofMillis(4100);
    /** What a process needs from its start until its first announcement, on a machine of the users. */
    private static final Duration PROCESS_START = Duration.ofMillis(900);

    /** How long a committed change of a group may take until the new member is told. */
    private static final Duration TOLD = Duration.ofMillis(350);

    private static Set<String> members(FleetSimulation simulation, String node) {
        return new TreeSet<>(simulation.w.controlNode(node).controlNodes());
    }

    private static void configurationIsTaken(FleetSimulation simulation, String id) {
        AtomicInteger taken = new AtomicInteger();
        simulation.put(simulation.configuration, simulation.version, id, response -> taken.set(response.status()));
        assertTrue(simulation.w.sim.runUntil(() -> taken.get() == 200, Duration.ofSeconds(8)), id + ": " + taken.get());
    }

    /** Before: the newcomer was never put into the groups, and the second loss left one of three. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aMemberGoneForGoodIsReplacedBeforeTheNextLoss(long seed) throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(seed, 3, 3, 4).startAll();
        simulation.w.sim.run(Duration.ofSeconds(3));
        simulation.w.lose(simulation.w.controlNodes.get((int) (seed % 3)));
        simulation.w.sim.run(Duration.ofSeconds(1).plus(PROCESS_START));
        String successor = simulation.w.newControlNode();
        Duration limit = CATCH_UP.minus(PROCESS_START);
        simulation.w.sim.run(limit);
        assertTrue(
                CoreExchange.votesEverywhere(simulation.w, successor),
                "not voting everywhere " + limit + " after its announcement");
        simulation.w.lose(simulation.w.controlNodes.get((int) ((seed + 1) % 3)));
        configurationIsTaken(simulation, "after-the-second-loss");
        simulation.w.sim.run(Duration.ofSeconds(3));
        assertEquals(List.of(), simulation.violations());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aPlannedLeaverStaysUntilItsSuccessorVotesEverywhere(long seed) throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(seed, 3, 3, 4).startAll();
        String leaver = simulation.w.controlNodes.get((int) (seed % 3));
        String successor = simulation.w.newControlNode();
        simulation.w.sim.run(Duration.ofSeconds(1));
        assertTrue(!CoreExchange.votesEverywhere(simulation.w, successor), "a standby machine alone changes nothing");
        assertTrue(
                simulation.w.sim.runUntil(() -> simulation.w.controlNode(leaver).drain(), Duration.ofMillis(2500)),
                "still waiting for its successor");
        simulation.w.lose(leaver);
        simulation.w.sim.run(TOLD);
        assertTrue(CoreExchange.votesEverywhere(simulation.w, successor));
        simulation.w.lose(simulation.w.controlNodes.get((int) ((seed + 1) % 3)));
        configurationIsTaken(simulation, "after-the-second-loss");
    }

    @Test
    void aLeaverWithoutSuccessorDoesNotWait() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(4, 3, 3, 4).startAll();
        simulation.w.sim.run(Duration.ofSeconds(3));
        String leaver = simulation.w.controlNodes.get(0);
        assertTrue(
                simulation.w.sim.runUntil(() -> simulation.w.controlNode(leaver).drain(), Duration.ofMillis(1000)));
    }

    @Test
    void aRestartOfTheSameMachineChangesNothing() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(5, 3, 3, 4).startAll();
        simulation.w.sim.run(Duration.ofSeconds(3));
        List<Set<String>> before = new ArrayList<>();
        simulation.w.controlNodes.forEach(l -> before.add(members(simulation, l)));
        long epoch = simulation
                .w
                .controlNode(simulation.w.controlNodes.get(1))
                .members()
                .epoch();
        for (String l : simulation.w.controlNodes) {
            simulation.w.kill(l);
            simulation.w.sim.run(Duration.ofSeconds(5));
            simulation.w.restart(l);
            simulation.w.sim.run(Duration.ofSeconds(5));
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(before.get(i), members(simulation, simulation.w.controlNodes.get(i)));
        }
        assertEquals(
                epoch,
                simulation
                        .w
                        .controlNode(simulation.w.controlNodes.get(1))
                        .members()
                        .epoch());
    }

    /** The whole core one by one, each time with the next loss right at the end of the time to catch up. */
    @ParameterizedTest
    @ValueSource(longs = {7, 8, 9})
    void theWholeCoreIsExchangedOneByOne(long seed) throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(seed, 3, 3, 4).startAll();
        simulation.w.sim.run(Duration.ofSeconds(3));
        for (int i = 0; i < 4; i++) {
            simulation.w.lose(simulation.w.controlNodes.get(i));
            simulation.w.sim.run(Duration.ofSeconds(1));
            String successor = simulation.w.newControlNode();
            simulation.w.sim.run(CATCH_UP);
            assertTrue(CoreExchange.votesEverywhere(simulation.w, successor), "exchange " + i);
        }
        simulation.w.sim.run(Duration.ofSeconds(8));
        configurationIsTaken(simulation, "by-a-core-of-others");
        long epoch = simulation
                .w
                .controlNode(simulation.w.controlNodes.get(6))
                .members()
                .epoch();
        for (String node : simulation.w.stores) {
            assertEquals(epoch, simulation.w.dataPlaneNode(node).core().epoch(), node);
        }
        assertEquals(List.of(), simulation.violations());
    }

    /** A member that was away while it was replaced learns that, and serves nothing. */
    @Test
    void aRemovedMemberKnowsItAndStandsBy() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(10, 3, 3, 4).startAll();
        simulation.w.sim.run(Duration.ofSeconds(3));
        String removed = simulation.w.controlNodes.get(0);
        simulation.w.kill(removed);
        String successor = simulation.w.newControlNode();
        simulation.w.sim.run(Duration.ofSeconds(6));
        simulation.w.restart(removed);
        simulation.w.sim.run(Duration.ofSeconds(3));
        assertTrue(!simulation.w.controlNode(removed).members().members().contains(removed), "it does not know");
        assertTrue(simulation.w.controlNode(successor).members().members().contains(successor));
        assertTrue(ServiceNames.controlPartitions().stream()
                .noneMatch(p -> simulation.w.controlNode(removed).replica(p).role() == Role.LEADER));
        simulation.w.lose(simulation.w.controlNodes.get(1));
        simulation.w.sim.run(Duration.ofSeconds(4));
        assertTrue(CoreExchange.votesEverywhere(simulation.w, removed), "it takes the next free place");
        configurationIsTaken(simulation, "again");
    }

    /** Well inside the time to catch up, start of the process included, however the member goes. */
    @ParameterizedTest
    @EnumSource(CoreExchange.Departure.class)
    void aSuccessorVotesEverywhereInLessThanHalfOfTheTimeToCatchUp(CoreExchange.Departure departure)
            throws ServiceException {
        Duration worst = CoreExchange.measure(100, Integer.getInteger("woadvale.exchanges", 12), departure).stream()
                .reduce((first, last) -> last)
                .orElseThrow();
        Duration half = CATCH_UP.dividedBy(2).minus(PROCESS_START);
        assertTrue(worst.compareTo(half) < 0, departure + ": " + worst);
    }
}

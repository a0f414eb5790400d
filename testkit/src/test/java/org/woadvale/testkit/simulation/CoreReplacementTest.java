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
 * The core replaces a permanently lost control machine by itself, before the next loss may occur (docs/design.md,
 * section 6.10).
 */
class CoreReplacementTest {
    /** The shortest time between the start of a successor and the loss of the next machine. */
    private static final Duration CATCH_UP = Duration.ofMillis(4100);
    /** Time from the start of a process until its first announcement, on the users' machines. */
    private static final Duration PROCESS_START = Duration.ofMillis(900);

    /** Maximum time until a new member learns of a committed membership change. */
    private static final Duration MEMBERSHIP_PROPAGATION = Duration.ofMillis(350);

    private static Set<String> members(FleetSimulation simulation, String node) {
        return new TreeSet<>(simulation.w.controlNode(node).controlNodes());
    }

    private static void assertConfigurationAccepted(FleetSimulation simulation, String id) {
        AtomicInteger status = new AtomicInteger();
        simulation.put(simulation.configuration, simulation.version, id, response -> status.set(response.status()));
        assertTrue(
                simulation.w.sim.runUntil(() -> status.get() == 200, Duration.ofSeconds(8)), id + ": " + status.get());
    }

    /**
     * Guards against a new node that is never added to the groups, so that a second loss leaves one member of three.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void permanentlyLostMemberIsReplacedBeforeTheNextLoss(long seed) throws ServiceException {
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
        assertConfigurationAccepted(simulation, "after-the-second-loss");
        simulation.w.sim.run(Duration.ofSeconds(3));
        assertEquals(List.of(), simulation.violations());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void drainingMemberStaysUntilItsSuccessorVotesEverywhere(long seed) throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(seed, 3, 3, 4).startAll();
        String departing = simulation.w.controlNodes.get((int) (seed % 3));
        String successor = simulation.w.newControlNode();
        simulation.w.sim.run(Duration.ofSeconds(1));
        assertTrue(
                !CoreExchange.votesEverywhere(simulation.w, successor),
                "a standby machine must not join while all members are there");
        assertTrue(
                simulation.w.sim.runUntil(
                        () -> simulation.w.controlNode(departing).drain(), Duration.ofMillis(2500)),
                "still waiting for its successor");
        simulation.w.lose(departing);
        simulation.w.sim.run(MEMBERSHIP_PROPAGATION);
        assertTrue(CoreExchange.votesEverywhere(simulation.w, successor));
        simulation.w.lose(simulation.w.controlNodes.get((int) ((seed + 1) % 3)));
        assertConfigurationAccepted(simulation, "after-the-second-loss");
    }

    @Test
    void drainWithoutSuccessorDoesNotWait() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(4, 3, 3, 4).startAll();
        simulation.w.sim.run(Duration.ofSeconds(3));
        String departing = simulation.w.controlNodes.get(0);
        assertTrue(simulation.w.sim.runUntil(
                () -> simulation.w.controlNode(departing).drain(), Duration.ofMillis(1000)));
    }

    @Test
    void restartOfAMemberDoesNotChangeTheMembership() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(5, 3, 3, 4).startAll();
        simulation.w.sim.run(Duration.ofSeconds(3));
        List<Set<String>> before = new ArrayList<>();
        simulation.w.controlNodes.forEach(node -> before.add(members(simulation, node)));
        long epoch = simulation
                .w
                .controlNode(simulation.w.controlNodes.get(1))
                .members()
                .epoch();
        for (String node : simulation.w.controlNodes) {
            simulation.w.kill(node);
            simulation.w.sim.run(Duration.ofSeconds(5));
            simulation.w.restart(node);
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

    /**
     * Replaces every core member in turn; each loss occurs exactly at the end of the catch-up time of the last
     * successor.
     */
    @ParameterizedTest
    @ValueSource(longs = {7, 8, 9})
    void allCoreMembersAreReplacedOneByOne(long seed) throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(seed, 3, 3, 4).startAll();
        simulation.w.sim.run(Duration.ofSeconds(3));
        for (int i = 0; i < 4; i++) {
            simulation.w.lose(simulation.w.controlNodes.get(i));
            simulation.w.sim.run(Duration.ofSeconds(1));
            String successor = simulation.w.newControlNode();
            simulation.w.sim.run(CATCH_UP);
            assertTrue(CoreExchange.votesEverywhere(simulation.w, successor), "replacement " + i);
        }
        simulation.w.sim.run(Duration.ofSeconds(8));
        assertConfigurationAccepted(simulation, "by-a-core-of-others");
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

    /** A member that was down while it was replaced learns of its removal after its restart and leads no partition. */
    @Test
    void removedMemberBecomesAStandby() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(10, 3, 3, 4).startAll();
        simulation.w.sim.run(Duration.ofSeconds(3));
        String removed = simulation.w.controlNodes.get(0);
        simulation.w.kill(removed);
        String successor = simulation.w.newControlNode();
        simulation.w.sim.run(Duration.ofSeconds(6));
        simulation.w.restart(removed);
        simulation.w.sim.run(Duration.ofSeconds(3));
        assertTrue(
                !simulation.w.controlNode(removed).members().members().contains(removed),
                "the removed member still counts itself as a member");
        assertTrue(simulation.w.controlNode(successor).members().members().contains(successor));
        assertTrue(ServiceNames.controlPartitions().stream()
                .noneMatch(p -> simulation.w.controlNode(removed).replica(p).role() == Role.LEADER));
        simulation.w.lose(simulation.w.controlNodes.get(1));
        simulation.w.sim.run(Duration.ofSeconds(4));
        assertTrue(
                CoreExchange.votesEverywhere(simulation.w, removed), "the standby must replace the next lost member");
        assertConfigurationAccepted(simulation, "again");
    }

    /** Holds for each kind of departure, with the start of the process included. */
    @ParameterizedTest
    @EnumSource(CoreExchange.Departure.class)
    void successorVotesEverywhereWithinHalfOfTheCatchUpTime(CoreExchange.Departure departure) throws ServiceException {
        Duration worst = CoreExchange.measure(100, Integer.getInteger("woadvale.exchanges", 12), departure).stream()
                .reduce((first, last) -> last)
                .orElseThrow();
        Duration limit = CATCH_UP.dividedBy(2).minus(PROCESS_START);
        assertTrue(worst.compareTo(limit) < 0, departure + ": " + worst);
    }
}

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
        return new TreeSet<>(simulation.fleet.controlNode(node).controlNodes());
    }

    private static void assertConfigurationAccepted(FleetSimulation simulation, String id) {
        AtomicInteger status = new AtomicInteger();
        simulation.put(simulation.configuration, simulation.version, id, response -> status.set(response.status()));
        assertTrue(
                simulation.fleet.sim.runUntil(() -> status.get() == 200, Duration.ofSeconds(8)),
                id + ": " + status.get());
    }

    /**
     * Guards against a new node that is never added to the groups, so that a second loss leaves one member of three.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void permanentlyLostMemberIsReplacedBeforeTheNextLoss(long seed) throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(seed, 3, 3, 4).startAll();
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        simulation.fleet.losePermanently(simulation.fleet.controlNodes.get((int) (seed % 3)));
        simulation.fleet.sim.run(Duration.ofSeconds(1).plus(PROCESS_START));
        String successor = simulation.fleet.newControlNode();
        Duration limit = CATCH_UP.minus(PROCESS_START);
        simulation.fleet.sim.run(limit);
        assertTrue(
                CoreMemberReplacement.votesEverywhere(simulation.fleet, successor),
                "not voting everywhere " + limit + " after its announcement");
        simulation.fleet.losePermanently(simulation.fleet.controlNodes.get((int) ((seed + 1) % 3)));
        assertConfigurationAccepted(simulation, "after-the-second-loss");
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        assertEquals(List.of(), simulation.violations());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void drainingMemberStaysUntilItsSuccessorVotesEverywhere(long seed) throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(seed, 3, 3, 4).startAll();
        String departing = simulation.fleet.controlNodes.get((int) (seed % 3));
        String successor = simulation.fleet.newControlNode();
        simulation.fleet.sim.run(Duration.ofSeconds(1));
        assertTrue(
                !CoreMemberReplacement.votesEverywhere(simulation.fleet, successor),
                "a standby machine must not join while all members are there");
        assertTrue(
                simulation.fleet.sim.runUntil(
                        () -> simulation.fleet.controlNode(departing).drain(), Duration.ofMillis(2500)),
                "still waiting for its successor");
        simulation.fleet.losePermanently(departing);
        simulation.fleet.sim.run(MEMBERSHIP_PROPAGATION);
        assertTrue(CoreMemberReplacement.votesEverywhere(simulation.fleet, successor));
        simulation.fleet.losePermanently(simulation.fleet.controlNodes.get((int) ((seed + 1) % 3)));
        assertConfigurationAccepted(simulation, "after-the-second-loss");
    }

    @Test
    void drainWithoutSuccessorDoesNotWait() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(4, 3, 3, 4).startAll();
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        String departing = simulation.fleet.controlNodes.get(0);
        assertTrue(simulation.fleet.sim.runUntil(
                () -> simulation.fleet.controlNode(departing).drain(), Duration.ofMillis(1000)));
    }

    @Test
    void restartOfAMemberDoesNotChangeTheMembership() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(5, 3, 3, 4).startAll();
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        List<Set<String>> before = new ArrayList<>();
        simulation.fleet.controlNodes.forEach(node -> before.add(members(simulation, node)));
        long epoch = simulation
                .fleet
                .controlNode(simulation.fleet.controlNodes.get(1))
                .members()
                .epoch();
        for (String node : simulation.fleet.controlNodes) {
            simulation.fleet.kill(node);
            simulation.fleet.sim.run(Duration.ofSeconds(5));
            simulation.fleet.restart(node);
            simulation.fleet.sim.run(Duration.ofSeconds(5));
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(before.get(i), members(simulation, simulation.fleet.controlNodes.get(i)));
        }
        assertEquals(
                epoch,
                simulation
                        .fleet
                        .controlNode(simulation.fleet.controlNodes.get(1))
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
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        for (int i = 0; i < 4; i++) {
            simulation.fleet.losePermanently(simulation.fleet.controlNodes.get(i));
            simulation.fleet.sim.run(Duration.ofSeconds(1));
            String successor = simulation.fleet.newControlNode();
            simulation.fleet.sim.run(CATCH_UP);
            assertTrue(CoreMemberReplacement.votesEverywhere(simulation.fleet, successor), "replacement " + i);
        }
        simulation.fleet.sim.run(Duration.ofSeconds(8));
        assertConfigurationAccepted(simulation, "by-a-core-of-others");
        long epoch = simulation
                .fleet
                .controlNode(simulation.fleet.controlNodes.get(6))
                .members()
                .epoch();
        for (String node : simulation.fleet.stores) {
            assertEquals(epoch, simulation.fleet.dataPlaneNode(node).core().epoch(), node);
        }
        assertEquals(List.of(), simulation.violations());
    }

    /** A member that was down while it was replaced learns of its removal after its restart and leads no partition. */
    @Test
    void removedMemberBecomesAStandby() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(10, 3, 3, 4).startAll();
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        String removed = simulation.fleet.controlNodes.get(0);
        simulation.fleet.kill(removed);
        String successor = simulation.fleet.newControlNode();
        simulation.fleet.sim.run(Duration.ofSeconds(6));
        simulation.fleet.restart(removed);
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        assertTrue(
                !simulation.fleet.controlNode(removed).members().members().contains(removed),
                "the removed member still counts itself as a member");
        assertTrue(simulation.fleet.controlNode(successor).members().members().contains(successor));
        assertTrue(ServiceNames.controlPartitions().stream()
                .noneMatch(p -> simulation.fleet.controlNode(removed).replica(p).role() == Role.LEADER));
        simulation.fleet.losePermanently(simulation.fleet.controlNodes.get(1));
        simulation.fleet.sim.run(Duration.ofSeconds(4));
        assertTrue(
                CoreMemberReplacement.votesEverywhere(simulation.fleet, removed),
                "the standby must replace the next lost member");
        assertConfigurationAccepted(simulation, "again");
    }

    /** Holds for each kind of departure, with the start of the process included. */
    @ParameterizedTest
    @EnumSource(CoreMemberReplacement.Departure.class)
    void successorVotesEverywhereWithinHalfOfTheCatchUpTime(CoreMemberReplacement.Departure departure)
            throws ServiceException {
        Duration worst =
                CoreMemberReplacement.measure(100, Integer.getInteger("woadvale.exchanges", 12), departure).stream()
                        .reduce((first, last) -> last)
                        .orElseThrow();
        Duration limit = CATCH_UP.dividedBy(2).minus(PROCESS_START);
        assertTrue(worst.compareTo(limit) < 0, departure + ": " + worst);
    }
}

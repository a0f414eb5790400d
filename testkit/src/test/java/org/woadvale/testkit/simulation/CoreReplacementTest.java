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
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.Role;
import org.woadvale.common.runtime.ServiceException;

/** A control machine that is gone for good is exchanged by the core itself, before the next loss may come. design 6.10 */
class CoreReplacementTest {
    /** The shortest time after the start of a successor at which the next machine may be lost. */
    private static final Duration CATCH_UP = Duration.ofMillis(4100);
    /** What a process needs from its start until its first announcement, on a machine of the users. */
    private static final Duration PROCESS_START = Duration.ofMillis(900);

    /** How long a committed change of a group may take until the new member is told. */
    private static final Duration TOLD = Duration.ofMillis(350);

    private static Set<String> members(FleetSimulation v, String node) {
        return new TreeSet<>(v.w.controlNode(node).controlNodes());
    }

    private static void configurationIsTaken(FleetSimulation v, String id) {
        AtomicInteger taken = new AtomicInteger();
        v.put(v.configuration, v.version, id, a -> taken.set(a.status()));
        assertTrue(v.w.sim.runUntil(() -> taken.get() == 200, Duration.ofSeconds(8)), id + ": " + taken.get());
    }

    /** Before: the newcomer was never put into the groups, and the second loss left one of three. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aMemberGoneForGoodIsReplacedBeforeTheNextLoss(long seed) throws ServiceException {
        FleetSimulation v = new FleetSimulation(seed, 3, 3, 4).embark();
        v.w.sim.run(Duration.ofSeconds(3));
        v.w.lose(v.w.lighthouses.get((int) (seed % 3)));
        v.w.sim.run(Duration.ofSeconds(1).plus(PROCESS_START));
        String successor = v.w.newControlNode();
        Duration limit = CATCH_UP.minus(PROCESS_START);
        v.w.sim.run(limit);
        assertTrue(
                CoreExchange.votesEverywhere(v.w, successor),
                "not voting everywhere " + limit + " after its announcement");
        v.w.lose(v.w.lighthouses.get((int) ((seed + 1) % 3)));
        configurationIsTaken(v, "after-the-second-loss");
        v.w.sim.run(Duration.ofSeconds(3));
        assertEquals(List.of(), v.violations());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aPlannedLeaverStaysUntilItsSuccessorVotesEverywhere(long seed) throws ServiceException {
        FleetSimulation v = new FleetSimulation(seed, 3, 3, 4).embark();
        String leaver = v.w.lighthouses.get((int) (seed % 3));
        String successor = v.w.newControlNode();
        v.w.sim.run(Duration.ofSeconds(1));
        assertTrue(!CoreExchange.votesEverywhere(v.w, successor), "a standby machine alone changes nothing");
        assertTrue(
                v.w.sim.runUntil(() -> v.w.controlNode(leaver).drain(), Duration.ofMillis(2500)),
                "still waiting for its successor");
        v.w.lose(leaver);
        v.w.sim.run(TOLD);
        assertTrue(CoreExchange.votesEverywhere(v.w, successor));
        v.w.lose(v.w.lighthouses.get((int) ((seed + 1) % 3)));
        configurationIsTaken(v, "after-the-second-loss");
    }

    @Test
    void aLeaverWithoutSuccessorDoesNotWait() throws ServiceException {
        FleetSimulation v = new FleetSimulation(4, 3, 3, 4).embark();
        v.w.sim.run(Duration.ofSeconds(3));
        String leaver = v.w.lighthouses.get(0);
        assertTrue(v.w.sim.runUntil(() -> v.w.controlNode(leaver).drain(), Duration.ofMillis(1000)));
    }

    @Test
    void aRestartOfTheSameMachineChangesNothing() throws ServiceException {
        FleetSimulation v = new FleetSimulation(5, 3, 3, 4).embark();
        v.w.sim.run(Duration.ofSeconds(3));
        List<Set<String>> before = new ArrayList<>();
        v.w.lighthouses.forEach(l -> before.add(members(v, l)));
        long epoch = v.w.controlNode(v.w.lighthouses.get(1)).members().epoch();
        for (String l : v.w.lighthouses) {
            v.w.kill(l);
            v.w.sim.run(Duration.ofSeconds(5));
            v.w.restart(l);
            v.w.sim.run(Duration.ofSeconds(5));
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(before.get(i), members(v, v.w.lighthouses.get(i)));
        }
        assertEquals(epoch, v.w.controlNode(v.w.lighthouses.get(1)).members().epoch());
    }

    /** The whole core one by one, each time with the next loss right at the end of the time to catch up. */
    @ParameterizedTest
    @ValueSource(longs = {7, 8, 9})
    void theWholeCoreIsExchangedOneByOne(long seed) throws ServiceException {
        FleetSimulation v = new FleetSimulation(seed, 3, 3, 4).embark();
        v.w.sim.run(Duration.ofSeconds(3));
        for (int i = 0; i < 4; i++) {
            v.w.lose(v.w.lighthouses.get(i));
            v.w.sim.run(Duration.ofSeconds(1));
            String successor = v.w.newControlNode();
            v.w.sim.run(CATCH_UP);
            assertTrue(CoreExchange.votesEverywhere(v.w, successor), "exchange " + i);
        }
        v.w.sim.run(Duration.ofSeconds(8));
        configurationIsTaken(v, "by-a-core-of-others");
        long epoch = v.w.controlNode(v.w.lighthouses.get(6)).members().epoch();
        for (String node : v.w.stores) {
            assertEquals(epoch, v.w.pilot(node).core().epoch(), node);
        }
        assertEquals(List.of(), v.violations());
    }

    /** A member that was away while it was replaced learns that, and serves nothing. */
    @Test
    void aRemovedMemberKnowsItAndStandsBy() throws ServiceException {
        FleetSimulation v = new FleetSimulation(10, 3, 3, 4).embark();
        v.w.sim.run(Duration.ofSeconds(3));
        String removed = v.w.lighthouses.get(0);
        v.w.kill(removed);
        String successor = v.w.newControlNode();
        v.w.sim.run(Duration.ofSeconds(6));
        v.w.restart(removed);
        v.w.sim.run(Duration.ofSeconds(3));
        assertTrue(!v.w.controlNode(removed).members().members().contains(removed), "it does not know");
        assertTrue(v.w.controlNode(successor).members().members().contains(successor));
        assertTrue(ServiceNames.controlParts().stream()
                .noneMatch(p -> v.w.controlNode(removed).replica(p).role() == Role.LEADER));
        v.w.lose(v.w.lighthouses.get(1));
        v.w.sim.run(Duration.ofSeconds(4));
        assertTrue(CoreExchange.votesEverywhere(v.w, removed), "it takes the next free place");
        configurationIsTaken(v, "again");
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

package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.TestConfiguration;

/**
 * Guards against a restarted store that its peers cannot reach: they kept using connections that no longer existed at
 * its end, so the next loss removed the majority of every message partition.
 */
class SecondLossTest {
    private static final double MESSAGES_PER_SECOND = 40;
    /** So long that TCP, whose retransmission interval doubles, does not reach the machine soon after its return. */
    private static final Duration POWER_OFF_TIME = Duration.ofMillis(6500);
    /** The users count a machine as back 4.2 s after power-on; 1 s of that is the start of its process. */
    private static final Duration CATCH_UP = Duration.ofMillis(3200);

    private static final long DEFAULT_SEEDS = 4;
    private static final Duration SERVICE_LIMIT = Duration.ofSeconds(30);

    /** Four seeds by default; {@code -Dlosses.seeds=50} runs more. */
    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("losses.seeds", DEFAULT_SEEDS));
    }

    private Optional<FleetSimulation> running = Optional.empty();

    private SimulatedConnections connections(boolean detectSilence) {
        return new SimulatedConnections(address -> running.map(fleet -> fleet.fleet.hosts.get(address)), detectSilence);
    }

    private FleetSimulation fleet(long seed, SimulatedConnections connections) throws ServiceException {
        FleetSimulation fleet = new FleetSimulation(
                seed,
                3,
                3,
                4,
                new TestConfiguration(3, 2, 20, 30, 26),
                SimulatedFleet.SMALL_RING,
                FleetOverrides.none().withRpc((address, rpc) -> connections.wrap(rpc)));
        running = Optional.of(fleet);
        fleet.startAll();
        fleet.traffic(MESSAGES_PER_SECOND);
        fleet.fleet.sim.run(Duration.ofSeconds(6).plus(fleet.fleet.sim.between(0, 2_000_000)));
        return fleet;
    }

    private static void loseDisk(FleetSimulation fleet, SimulatedConnections connections, String store)
            throws ServiceException {
        connections.powerOff(store);
        fleet.fleet.kill(store);
        fleet.fleet.host(store).disk.wipe();
        fleet.fleet.sim.run(POWER_OFF_TIME);
        connections.powerOn(store);
        fleet.fleet.restart(store);
    }

    private static boolean everyReplicaVotes(FleetSimulation fleet) {
        return fleet.fleet.presentStores().stream()
                .map(fleet.fleet::dataPlaneNode)
                .allMatch(store ->
                        !store.partitionGroups().isEmpty() && store.notVotingCount() == 0 && store.votingEverywhere());
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void storesLosingTheirDisksInTurnLoseNoMessage(long seed) throws ServiceException {
        SimulatedConnections connections = connections(true);
        FleetSimulation fleet = fleet(seed, connections);
        loseDisk(fleet, connections, fleet.fleet.stores.get(0));
        assertTrue(
                fleet.fleet.sim.runUntil(() -> everyReplicaVotes(fleet), CATCH_UP),
                "not all replicas vote after " + CATCH_UP);
        loseDisk(fleet, connections, fleet.fleet.stores.get(1));
        fleet.fleet.sim.run(Duration.ofSeconds(5));
        fleet.followExecuted();
        assertTrue(
                fleet.settle(SERVICE_LIMIT),
                () -> "an accepted message has not reached a terminal state: " + fleet.firstOpen());
        assertEquals(List.of(), fleet.violations());
    }

    /** Shows that the test above produces the fault: without silence detection the store is not back in time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void withoutSilenceDetectionTheStoreIsNotBackInTime(long seed) throws ServiceException {
        SimulatedConnections connections = connections(false);
        FleetSimulation fleet = fleet(seed, connections);
        loseDisk(fleet, connections, fleet.fleet.stores.get(0));
        assertFalse(fleet.fleet.sim.runUntil(() -> everyReplicaVotes(fleet), CATCH_UP));
    }
}

package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.Role;
import org.woadvale.common.replication.SnapshotMessages;

/** A member catches up from a snapshot while commands are committed. (docs/design.md, section 5.8) */
class SnapshotTransferTest {
    private static final int RING_FILE_BYTES = 8 << 20;
    private static final int COMMANDS = 60;
    /** Time for everything except the chunks of the snapshot, including three lost requests. */
    private static final Duration LOSSLESS_CATCH_UP = Duration.ofSeconds(3);
    /** The timeout of a request and the wait for the next tick. */
    private static final Duration DELAY_PER_LOST_CHUNK = Duration.ofMillis(800);

    private static final Duration LOSSY_CATCH_UP = Duration.ofSeconds(40);
    private static final int COMMAND_BYTES = 100_000;
    /** The limit on the users' machines, the shorter of the two. */
    private static final Duration CATCH_UP = Duration.ofMillis(4100);

    private final Map<String, Integer> chunksSent = new HashMap<>();
    private final Map<String, Set<Long>> offsetsSent = new HashMap<>();

    private ReplicaGroupFixture groupWithCommands(long seed, int commands) throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(seed, RING_FILE_BYTES);
        group.net.onFrame((from, to, frame, bytes) -> {
            if (frame.body() instanceof SnapshotMessages.SnapshotChunkRequest chunk) {
                chunksSent.merge(to, 1, Integer::sum);
                offsetsSent.computeIfAbsent(to, node -> new HashSet<>()).add(chunk.offset());
                assertTrue(bytes < 300_000, "a chunk of " + bytes + " bytes");
            }
        });
        for (int i = 0; i < commands; i++) {
            group.propose(i + "x".repeat(COMMAND_BYTES));
        }
        group.sim.run(Duration.ofSeconds(1));
        return group;
    }

    private static String follower(ReplicaGroupFixture group) {
        String leader = group.awaitLeader();
        return group.hosts.keySet().stream()
                .filter(node -> !node.equals(leader))
                .findFirst()
                .orElseThrow();
    }

    private static void wipeAndStart(ReplicaGroupFixture group, String node) throws ServiceException {
        group.hosts.get(node).kill();
        group.hosts.get(node).disk().wipe();
        group.start(node);
    }

    private static boolean isFollower(ReplicaGroupFixture group, String node) {
        return group.replicas.get(node).role() == Role.FOLLOWER;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void wipedMemberCatchesUpInTimeDespiteLostRequests(long seed) throws ServiceException {
        ReplicaGroupFixture group = groupWithCommands(seed, COMMANDS);
        String wiped = follower(group);
        group.net.setLossAndDuplication(0.1, 0.1);
        wipeAndStart(group, wiped);
        Duration startedAt = group.sim.now();
        assertTrue(group.sim.runUntil(() -> isFollower(group, wiped), LOSSY_CATCH_UP), "does not catch up");
        int lostChunks = chunksSent.get(wiped) - offsetsSent.get(wiped).size();
        assertTrue(lostChunks <= offsetsSent.get(wiped).size(), lostChunks + " chunks sent again");
        Duration elapsed = group.sim.now().minus(startedAt);
        assertTrue(
                elapsed.compareTo(LOSSLESS_CATCH_UP.plus(DELAY_PER_LOST_CHUNK.multipliedBy(lostChunks))) < 0,
                elapsed + " with " + lostChunks + " chunks sent again");
        group.net.setLossAndDuplication(0, 0);
        group.sim.run(Duration.ofSeconds(2));
        assertEquals(group.stateMachines.get(group.awaitLeader()).words, group.stateMachines.get(wiped).words);
    }

    /**
     * Guards against a snapshot that is sent as a single frame, while the leader's next snapshot moves on with each 4
     * MB of commands.
     */
    @Test
    void memberWithASlowDiskCatchesUpUnderLoad() throws ServiceException {
        ReplicaGroupFixture group = groupWithCommands(11, COMMANDS);
        String slow = follower(group);
        group.hosts.get(slow).slowDisk(30);
        wipeAndStart(group, slow);
        int[] proposed = {0};
        Duration startedAt = group.sim.now();
        while (!isFollower(group, slow) && group.sim.now().minus(startedAt).compareTo(CATCH_UP) < 0) {
            group.propose("more" + proposed[0]++ + "y".repeat(COMMAND_BYTES));
            group.sim.run(Duration.ofMillis(20));
        }
        assertTrue(isFollower(group, slow), "after " + proposed[0] + " commands");
        assertTrue(chunksSent.get(slow) < 80, chunksSent + " chunks");
    }

    /** The link carries 2 MB/s, a quarter of it used by commands; the snapshot has 6 MB. */
    @Test
    void memberBehindASlowLinkCatchesUpUnderLoad() throws ServiceException {
        ReplicaGroupFixture group = groupWithCommands(13, COMMANDS);
        String slow = follower(group);
        group.net.slowLink(group.awaitLeader(), slow, 2_000_000);
        wipeAndStart(group, slow);
        Duration startedAt = group.sim.now();
        for (int i = 0;
                !isFollower(group, slow) && group.sim.now().minus(startedAt).compareTo(Duration.ofSeconds(8)) < 0;
                i++) {
            group.propose("more" + i + "y".repeat(COMMAND_BYTES));
            group.sim.run(Duration.ofMillis(200));
        }
        assertTrue(isFollower(group, slow), chunksSent + " chunks");
    }

    @Test
    void interruptedTransferResendsOnlyLostChunks() throws ServiceException {
        ReplicaGroupFixture group = groupWithCommands(12, COMMANDS);
        String wiped = follower(group);
        String leader = group.awaitLeader();
        wipeAndStart(group, wiped);
        for (int i = 0; i < 6; i++) {
            group.sim.run(Duration.ofMillis(100));
            group.net.cut(leader, wiped);
            group.sim.run(Duration.ofMillis(900));
            group.net.join(leader, wiped);
        }
        assertTrue(group.sim.runUntil(() -> isFollower(group, wiped), CATCH_UP), "does not catch up");
        int minChunks = COMMANDS * COMMAND_BYTES / (256 << 10);
        assertTrue(chunksSent.get(wiped) < 3 * minChunks, chunksSent + " of " + minChunks);
    }

    private static Map<String, String> members(ReplicaGroupFixture group) {
        return group.replicas.get(group.awaitLeader()).members();
    }

    /** A follower's disk is rolled back to an earlier state; the other members, including the leader, keep running. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24})
    void rolledBackDiskCountsOnlyUnderAnotherIdentity(long seed) throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(seed, RING_FILE_BYTES);
        group.propose("early");
        group.sim.run(Duration.ofSeconds(1));
        String rolledBack = follower(group);
        var earlier = group.hosts.get(rolledBack).disk().copy();
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            accepted.add(group.propose("later" + i));
        }
        group.sim.run(Duration.ofSeconds(1));
        String identity = members(group).get(rolledBack);
        group.hosts.get(rolledBack).kill();
        group.hosts.get(rolledBack).disk().copyFrom(earlier);
        group.start(rolledBack);
        group.sim.run(Duration.ofSeconds(3));
        assertFalse(
                identity.equals(members(group).get(rolledBack)),
                "it counts under the identity that lost acknowledged entries");
        assertTrue(isFollower(group, rolledBack));
        assertTrue(group.stateMachines.get(rolledBack).words.containsAll(accepted));
        assertEquals(Set.copyOf(group.hosts.keySet()), members(group).keySet());
    }

    @Test
    void diskCopiedFromAnotherMemberCountsAsLost() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(31, RING_FILE_BYTES);
        group.propose("early");
        group.sim.run(Duration.ofSeconds(1));
        String leader = group.awaitLeader();
        String victim = follower(group);
        Map<String, String> before = members(group);
        group.hosts.get(victim).kill();
        group.hosts.get(victim).disk().copyFrom(group.hosts.get(leader).disk().copy());
        group.start(victim);
        assertEquals(Role.UNINITIALIZED, group.replicas.get(victim).role());
        group.sim.run(Duration.ofSeconds(3));
        assertTrue(isFollower(group, victim));
        Map<String, String> after = members(group);
        assertEquals(before.get(leader), after.get(leader));
        assertEquals(3, Set.copyOf(after.values()).size());
    }
}

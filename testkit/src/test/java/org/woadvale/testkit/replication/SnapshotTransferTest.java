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

/** A member that needs a snapshot while changes go on. (docs/design.md, section 5.8) */
class SnapshotTransferTest {
    private static final int RING_FILE = 8 << 20;
    private static final int CHANGES = 60;
    /** For all that is not a piece of the snapshot, three more lost calls among it. */
    private static final Duration LOSSLESS_CATCH_UP = Duration.ofSeconds(3);
    /** A call's time-out, and the wait for the next tick. */
    private static final Duration AFTER_A_LOST_PIECE = Duration.ofMillis(800);

    private static final Duration LOSSY_CATCH_UP = Duration.ofSeconds(40);
    private static final int CHANGE_BYTES = 100_000;
    /** The bound of the users' machines, the shorter of the two. */
    private static final Duration CATCH_UP = Duration.ofMillis(4100);

    private final Map<String, Integer> piecesSent = new HashMap<>();
    private final Map<String, Set<Long>> offsetsSent = new HashMap<>();

    private ReplicaGroupFixture afterManyChanges(long seed, int changes) throws ServiceException {
        ReplicaGroupFixture replicas = new ReplicaGroupFixture(seed, RING_FILE);
        replicas.net.onFrame((from, to, frame, bytes) -> {
            if (frame.body() instanceof SnapshotMessages.SnapshotChunkRequest chunk) {
                piecesSent.merge(to, 1, Integer::sum);
                offsetsSent.computeIfAbsent(to, node -> new HashSet<>()).add(chunk.offset());
                assertTrue(bytes < 300_000, "a piece of " + bytes + " bytes");
            }
        });
        for (int i = 0; i < changes; i++) {
            replicas.propose(i + "x".repeat(CHANGE_BYTES));
        }
        replicas.sim.run(Duration.ofSeconds(1));
        return replicas;
    }

    private static String follower(ReplicaGroupFixture replicas) {
        String leader = replicas.awaitLeader();
        return replicas.hosts.keySet().stream()
                .filter(h -> !h.equals(leader))
                .findFirst()
                .orElseThrow();
    }

    private static void wipeAndStart(ReplicaGroupFixture replicas, String node) throws ServiceException {
        replicas.hosts.get(node).kill();
        replicas.hosts.get(node).disk().wipe();
        replicas.start(node);
    }

    private static boolean counts(ReplicaGroupFixture replicas, String node) {
        return replicas.replicas.get(node).role() == Role.FOLLOWER;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aWipedMemberCountsInTimeThoughCallsAreLost(long seed) throws ServiceException {
        ReplicaGroupFixture replicas = afterManyChanges(seed, CHANGES);
        String wiped = follower(replicas);
        replicas.net.setLossAndDuplication(0.1, 0.1);
        wipeAndStart(replicas, wiped);
        Duration begun = replicas.sim.now();
        assertTrue(replicas.sim.runUntil(() -> counts(replicas, wiped), LOSSY_CATCH_UP), "does not count");
        int lostPieces = piecesSent.get(wiped) - offsetsSent.get(wiped).size();
        assertTrue(lostPieces <= offsetsSent.get(wiped).size(), lostPieces + " pieces sent again");
        Duration took = replicas.sim.now().minus(begun);
        assertTrue(
                took.compareTo(LOSSLESS_CATCH_UP.plus(AFTER_A_LOST_PIECE.multipliedBy(lostPieces))) < 0,
                took + " with " + lostPieces + " pieces sent again");
        replicas.net.setLossAndDuplication(0, 0);
        replicas.sim.run(Duration.ofSeconds(2));
        assertEquals(replicas.stateMachines.get(replicas.awaitLeader()).words, replicas.stateMachines.get(wiped).words);
    }

    /** Before: the whole went as one frame, and its owner's next snapshot moved on with each 4 MB of changes. */
    @Test
    void aMemberWithADiskThirtyTimesAsSlowCatchesUpUnderChanges() throws ServiceException {
        ReplicaGroupFixture replicas = afterManyChanges(11, CHANGES);
        String slow = follower(replicas);
        replicas.hosts.get(slow).slowDisk(30);
        wipeAndStart(replicas, slow);
        int[] said = {0};
        Duration begun = replicas.sim.now();
        while (!counts(replicas, slow) && replicas.sim.now().minus(begun).compareTo(CATCH_UP) < 0) {
            replicas.propose("more" + said[0]++ + "y".repeat(CHANGE_BYTES));
            replicas.sim.run(Duration.ofMillis(20));
        }
        assertTrue(counts(replicas, slow), "after " + said[0] + " changes");
        assertTrue(piecesSent.get(slow) < 80, piecesSent + " pieces");
    }

    /** 2 MB a second, a quarter of them taken by changes; the snapshot has 6 MB. */
    @Test
    void aMemberBehindASlowLinkCatchesUpUnderChanges() throws ServiceException {
        ReplicaGroupFixture replicas = afterManyChanges(13, CHANGES);
        String slow = follower(replicas);
        replicas.net.slowLink(replicas.awaitLeader(), slow, 2_000_000);
        wipeAndStart(replicas, slow);
        Duration begun = replicas.sim.now();
        for (int i = 0;
                !counts(replicas, slow) && replicas.sim.now().minus(begun).compareTo(Duration.ofSeconds(8)) < 0;
                i++) {
            replicas.propose("more" + i + "y".repeat(CHANGE_BYTES));
            replicas.sim.run(Duration.ofMillis(200));
        }
        assertTrue(counts(replicas, slow), piecesSent + " pieces");
    }

    @Test
    void aMemberThatComesAndGoesGetsEachPieceAgainOnlyWhereItMust() throws ServiceException {
        ReplicaGroupFixture replicas = afterManyChanges(12, CHANGES);
        String wiped = follower(replicas);
        String leader = replicas.awaitLeader();
        wipeAndStart(replicas, wiped);
        for (int i = 0; i < 6; i++) {
            replicas.sim.run(Duration.ofMillis(100));
            replicas.net.cut(leader, wiped);
            replicas.sim.run(Duration.ofMillis(900));
            replicas.net.join(leader, wiped);
        }
        assertTrue(replicas.sim.runUntil(() -> counts(replicas, wiped), CATCH_UP), "does not count");
        int atLeast = CHANGES * CHANGE_BYTES / (256 << 10);
        assertTrue(piecesSent.get(wiped) < 3 * atLeast, piecesSent + " of " + atLeast);
    }

    private static Map<String, String> group(ReplicaGroupFixture replicas) {
        return replicas.replicas.get(replicas.awaitLeader()).members();
    }

    /** The disk of a follower goes back to an earlier state; the others, the leader among them, run on. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24})
    void aRolledBackDiskCountsOnlyUnderAnotherIdentity(long seed) throws ServiceException {
        ReplicaGroupFixture replicas = new ReplicaGroupFixture(seed, RING_FILE);
        replicas.propose("early");
        replicas.sim.run(Duration.ofSeconds(1));
        String old = follower(replicas);
        var earlier = replicas.hosts.get(old).disk().copy();
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            accepted.add(replicas.propose("later" + i));
        }
        replicas.sim.run(Duration.ofSeconds(1));
        String identity = group(replicas).get(old);
        replicas.hosts.get(old).kill();
        replicas.hosts.get(old).disk().become(earlier);
        replicas.start(old);
        replicas.sim.run(Duration.ofSeconds(3));
        assertFalse(identity.equals(group(replicas).get(old)), "it counts under the identity that lost its word");
        assertTrue(counts(replicas, old));
        assertTrue(replicas.stateMachines.get(old).words.containsAll(accepted));
        assertEquals(Set.copyOf(replicas.hosts.keySet()), group(replicas).keySet());
    }

    @Test
    void aDiskCopiedFromAnotherMemberCountsAsLost() throws ServiceException {
        ReplicaGroupFixture replicas = new ReplicaGroupFixture(31, RING_FILE);
        replicas.propose("early");
        replicas.sim.run(Duration.ofSeconds(1));
        String leader = replicas.awaitLeader();
        String victim = follower(replicas);
        Map<String, String> before = group(replicas);
        replicas.hosts.get(victim).kill();
        replicas.hosts
                .get(victim)
                .disk()
                .become(replicas.hosts.get(leader).disk().copy());
        replicas.start(victim);
        assertEquals(Role.UNINITIALIZED, replicas.replicas.get(victim).role());
        replicas.sim.run(Duration.ofSeconds(3));
        assertTrue(counts(replicas, victim));
        Map<String, String> after = group(replicas);
        assertEquals(before.get(leader), after.get(leader));
        assertEquals(3, Set.copyOf(after.values()).size());
    }
}

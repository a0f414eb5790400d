package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.replication.Role;
import org.woadvale.common.replication.SnapshotMessages;
import org.woadvale.common.runtime.ServiceException;

/** A member that needs a snapshot while changes go on. design 5.8 */
class SnapshotTransferTest {
    private static final int RING_FILE = 8 << 20;
    private static final int CHANGES = 60;
    private static final int CHANGE_BYTES = 100_000;
    /** The bound of the users' machines, the shorter of the two. */
    private static final Duration CATCH_UP = Duration.ofMillis(4100);

    private final Map<String, Integer> piecesSent = new HashMap<>();

    private Trio afterManyChanges(long seed, int changes) throws ServiceException {
        Trio t = new Trio(seed, RING_FILE);
        t.net.watch((from, to, frame, bytes) -> {
            if (frame.body() instanceof SnapshotMessages.SnapshotChunkRequest) {
                piecesSent.merge(to, 1, Integer::sum);
                assertTrue(bytes < 300_000, "a piece of " + bytes + " bytes");
            }
        });
        for (int i = 0; i < changes; i++) {
            t.say(i + "x".repeat(CHANGE_BYTES));
        }
        t.sim.run(Duration.ofSeconds(1));
        return t;
    }

    private static String follower(Trio t) {
        String leader = t.awaitOwner();
        return t.hosts.keySet().stream()
                .filter(h -> !h.equals(leader))
                .findFirst()
                .orElseThrow();
    }

    private static void wipeAndStart(Trio t, String node) throws ServiceException {
        t.hosts.get(node).kill();
        t.hosts.get(node).disk().wipe();
        t.start(node);
    }

    private static boolean counts(Trio t, String node) {
        return t.replicas.get(node).role() == Role.FOLLOWER;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aWipedMemberCountsInTimeThoughCallsAreLost(long seed) throws ServiceException {
        Trio t = afterManyChanges(seed, CHANGES);
        String wiped = follower(t);
        t.net.weather(0.1, 0.1);
        wipeAndStart(t, wiped);
        assertTrue(t.sim.runUntil(() -> counts(t, wiped), Duration.ofSeconds(12)), "does not count");
        t.net.weather(0, 0);
        t.sim.run(Duration.ofSeconds(2));
        assertEquals(t.words.get(t.awaitOwner()).words, t.words.get(wiped).words);
    }

    /** Before: the whole went as one frame, and its owner's next snapshot moved on with each 4 MB of changes. */
    @Test
    void aMemberWithADiskThirtyTimesAsSlowCatchesUpUnderChanges() throws ServiceException {
        Trio t = afterManyChanges(11, CHANGES);
        String slow = follower(t);
        t.hosts.get(slow).slowDisk(30);
        wipeAndStart(t, slow);
        int[] said = {0};
        Duration begun = t.sim.now();
        while (!counts(t, slow) && t.sim.now().minus(begun).compareTo(CATCH_UP) < 0) {
            t.say("more" + said[0]++ + "y".repeat(CHANGE_BYTES));
            t.sim.run(Duration.ofMillis(20));
        }
        assertTrue(counts(t, slow), "after " + said[0] + " changes");
        assertTrue(piecesSent.get(slow) < 80, piecesSent + " pieces");
    }

    /** 2 MB a second, a quarter of them taken by changes; the snapshot has 6 MB. */
    @Test
    void aMemberBehindASlowLinkCatchesUpUnderChanges() throws ServiceException {
        Trio t = afterManyChanges(13, CHANGES);
        String slow = follower(t);
        t.net.slowLink(t.awaitOwner(), slow, 2_000_000);
        wipeAndStart(t, slow);
        Duration begun = t.sim.now();
        for (int i = 0; !counts(t, slow) && t.sim.now().minus(begun).compareTo(Duration.ofSeconds(8)) < 0; i++) {
            t.say("more" + i + "y".repeat(CHANGE_BYTES));
            t.sim.run(Duration.ofMillis(200));
        }
        assertTrue(counts(t, slow), piecesSent + " pieces");
    }

    @Test
    void aMemberThatComesAndGoesGetsEachPieceAgainOnlyWhereItMust() throws ServiceException {
        Trio t = afterManyChanges(12, CHANGES);
        String wiped = follower(t);
        String leader = t.awaitOwner();
        wipeAndStart(t, wiped);
        for (int i = 0; i < 6; i++) {
            t.sim.run(Duration.ofMillis(100));
            t.net.cut(leader, wiped);
            t.sim.run(Duration.ofMillis(900));
            t.net.join(leader, wiped);
        }
        assertTrue(t.sim.runUntil(() -> counts(t, wiped), CATCH_UP), "does not count");
        int atLeast = CHANGES * CHANGE_BYTES / (256 << 10);
        assertTrue(piecesSent.get(wiped) < 3 * atLeast, piecesSent + " of " + atLeast);
    }

    private static Map<String, String> group(Trio t) {
        return t.replicas.get(t.awaitOwner()).members();
    }

    /** The disk of a follower goes back to an earlier state; the others, the leader among them, run on. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24})
    void aRolledBackDiskCountsOnlyUnderAnotherIdentity(long seed) throws ServiceException {
        Trio t = new Trio(seed, RING_FILE);
        t.say("early");
        t.sim.run(Duration.ofSeconds(1));
        String old = follower(t);
        var earlier = t.hosts.get(old).disk().copy();
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            accepted.add(t.say("later" + i));
        }
        t.sim.run(Duration.ofSeconds(1));
        String identity = group(t).get(old);
        t.hosts.get(old).kill();
        t.hosts.get(old).disk().become(earlier);
        t.start(old);
        t.sim.run(Duration.ofSeconds(3));
        assertFalse(identity.equals(group(t).get(old)), "it counts under the identity that lost its word");
        assertTrue(counts(t, old));
        assertTrue(t.words.get(old).words.containsAll(accepted));
        assertEquals(Set.copyOf(t.hosts.keySet()), group(t).keySet());
    }

    @Test
    void aDiskCopiedFromAnotherMemberCountsAsLost() throws ServiceException {
        Trio t = new Trio(31, RING_FILE);
        t.say("early");
        t.sim.run(Duration.ofSeconds(1));
        String leader = t.awaitOwner();
        String victim = follower(t);
        Map<String, String> before = group(t);
        t.hosts.get(victim).kill();
        t.hosts.get(victim).disk().become(t.hosts.get(leader).disk().copy());
        t.start(victim);
        assertEquals(Role.UNINITIALIZED, t.replicas.get(victim).role());
        t.sim.run(Duration.ofSeconds(3));
        assertTrue(counts(t, victim));
        Map<String, String> after = group(t);
        assertEquals(before.get(leader), after.get(leader));
        assertEquals(3, Set.copyOf(after.values()).size());
    }
}

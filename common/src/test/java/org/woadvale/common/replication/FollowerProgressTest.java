package org.woadvale.common.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.woadvale.common.replication.ReplicationMessages.AppendEntriesResponse;

class FollowerProgressTest {
    private final FollowerProgress progress = new FollowerProgress(Duration.ofSeconds(1));

    private static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    private static AppendEntriesResponse response(boolean success, long matchIndex, String identity) {
        return new AppendEntriesResponse(1, success, matchIndex, identity, true);
    }

    private void matched(String identity, long index) {
        progress.onContact(identity, true, at(2000));
        progress.onCommitIndexAcknowledged(index);
        progress.onMatch(index);
    }

    @Test
    void catchesUpOnlyAfterMatchingTheCommitIndexOfTheRequest() {
        progress.onContact("x", true, at(2000));
        progress.onCommitIndexAcknowledged(5);
        progress.onMatch(4);
        assertFalse(progress.isCaughtUp());
        progress.onMatch(5);
        assertTrue(progress.isCaughtUp());
        assertTrue(progress.isUpToDateUnder("x"));
        assertFalse(progress.isUpToDateUnder("y"));
    }

    @Test
    void newIdentityResetsProgress() {
        matched("x", 5);
        progress.onContact("y", true, at(2100));
        assertEquals(0, progress.matchIndex());
        assertEquals("y", progress.identity());
    }

    @Test
    void olderResponseDoesNotMoveLastContactBack() {
        progress.onContact("x", true, at(2000));
        progress.onContact("x", true, at(1500));
        assertEquals(at(2000), progress.lastContact());
        assertTrue(progress.wasContactedSince(at(1800)));
        assertFalse(progress.wasContactedSince(at(2001)));
    }

    @Test
    void followerWithoutResponseWasNeverContacted() {
        assertFalse(progress.wasContactedSince(Duration.ZERO));
    }

    @Test
    void identityThatLostAcknowledgedEntriesDoesNotCount() {
        matched("x", 5);
        assertEquals(FollowerProgress.Finding.CURRENT, progress.check(response(true, 5, "x")));
        assertEquals(FollowerProgress.Finding.LOST_ACKNOWLEDGED, progress.check(response(false, 4, "x")));
        assertTrue(progress.revoke("x"));
        assertFalse(progress.revoke("x"), "it was revoked before");
        matched("x", 9);
        assertEquals("", progress.identity());
        assertEquals(0, progress.matchIndex());
        assertEquals(FollowerProgress.Finding.LOST_ACKNOWLEDGED, progress.check(response(true, 9, "x")));
        matched("y", 9);
        assertTrue(progress.isCaughtUp());
    }
}

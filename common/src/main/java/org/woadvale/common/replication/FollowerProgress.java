package org.woadvale.common.replication;

import java.time.Duration;

/** What the leader knows about one follower from the responses in its own term. */
final class FollowerProgress {
    /** The result of checking a response. */
    enum Finding {
        /** The response is consistent with what the follower acknowledged before. */
        CURRENT,
        /** The follower's disk has lost entries that it had acknowledged: it no longer counts under this identity. */
        LOST_ACKNOWLEDGED
    }

    private final Duration replicatingSince;
    private String identity = "";
    private boolean electable;
    private long matchIndex;
    private Duration lastContact = Duration.ZERO;
    private long commitIndexAtResponse;
    private String revokedIdentity = "";

    /** Starts tracking a follower about which nothing is known yet. */
    FollowerProgress(Duration now) {
        this.replicatingSince = now;
    }

    /** When the leader began to send to this follower, by the leader's clock. */
    Duration replicatingSince() {
        return replicatingSince;
    }

    /** The identity in the latest response; empty before the first response and while the identity is revoked. */
    String identity() {
        return identity;
    }

    /** Whether the follower reported that leadership may be transferred to it. */
    boolean isElectable() {
        return electable;
    }

    /** The index up to which the follower's log is known to match and to be synced. */
    long matchIndex() {
        return matchIndex;
    }

    boolean hasMatched() {
        return matchIndex > 0;
    }

    /** When the latest answered request was sent, by the leader's clock; zero before the first response. */
    Duration lastContact() {
        return lastContact;
    }

    boolean wasContactedSince(Duration time) {
        return !lastContact.isZero() && lastContact.compareTo(time) >= 0;
    }

    boolean isUpToDateUnder(String memberIdentity) {
        return hasMatched() && identity.equals(memberIdentity);
    }

    /**
     * Whether the follower had synced every entry that was committed when the latest answered request was sent; only
     * then may it join.
     */
    boolean isCaughtUp() {
        return !identity.isEmpty() && hasMatched() && matchIndex >= commitIndexAtResponse && commitIndexAtResponse > 0;
    }

    /** Records a response: the follower's identity, whether it is electable, and when the answered request was sent. */
    void onContact(String reportedIdentity, boolean reportedElectable, Duration sentAt) {
        String effectiveIdentity = reportedIdentity.equals(revokedIdentity) ? "" : reportedIdentity;
        if (!effectiveIdentity.equals(identity)) {
            matchIndex = 0;
        }
        identity = effectiveIdentity;
        electable = reportedElectable;
        lastContact = sentAt.compareTo(lastContact) > 0 ? sentAt : lastContact;
    }

    /** Whether a response shows that the follower has less than it had acknowledged under the same identity. */
    Finding check(ReplicationMessages.AppendEntriesResponse response) {
        boolean lost = !response.success() && response.matchIndex() < matchIndex;
        return lost || response.identity().equals(revokedIdentity) ? Finding.LOST_ACKNOWLEDGED : Finding.CURRENT;
    }

    /** Stops counting the identity; returns true if it was not revoked before. */
    boolean revoke(String reportedIdentity) {
        boolean changed = !reportedIdentity.equals(revokedIdentity);
        revokedIdentity = reportedIdentity;
        identity = "";
        matchIndex = 0;
        return changed;
    }

    /** Records the commit index of the request that was answered last. */
    void onCommitIndexAcknowledged(long commitIndex) {
        commitIndexAtResponse = commitIndex;
    }

    /** Records that the log matches up to the index; a lower index has no effect. */
    void onMatch(long index) {
        matchIndex = identity.isEmpty() ? 0 : Math.max(matchIndex, index);
    }

    void onSnapshotInstalled(long index) {
        matchIndex = Math.max(matchIndex, index);
    }

    boolean hasAcknowledgedCommitIndex() {
        return matchIndex >= commitIndexAtResponse;
    }
}

package org.woadvale.common.replication;

import java.time.Duration;

/** What the leader knows of one follower, from the answers of its own term. */
final class FollowerProgress {
    /** What a response led to. */
    enum Finding {
        /** The response counts. */
        CURRENT,
        /** The follower's disk has lost entries that it had acknowledged: it counts for nothing under this identity. */
        LOST_ACKNOWLEDGED
    }

    private final Duration replicatingSince;
    private String identity = "";
    private boolean electable;
    private long matchIndex;
    private Duration lastContact = Duration.ZERO;
    private long commitIndexAtResponse;
    private String revokedIdentity = "";

    /** Nothing is known yet of a follower that is sent to from now on. */
    FollowerProgress(Duration now) {
        this.replicatingSince = now;
    }

    /** Since when the leader sends to this follower, by the leader's clock. */
    Duration replicatingSince() {
        return replicatingSince;
    }

    /** Under which it answered last; empty before the first answer, and while it does not count. */
    String identity() {
        return identity;
    }

    /** Whether it may succeed the leader, by its own word. */
    boolean isElectable() {
        return electable;
    }

    /** Up to this index its log is known to match and to be synced. */
    long matchIndex() {
        return matchIndex;
    }

    boolean hasMatched() {
        return matchIndex > 0;
    }

    /** When the latest request was sent that it answered, by the leader's clock; zero before the first answer. */
    Duration lastContact() {
        return lastContact;
    }

    boolean wasContactedSince(Duration time) {
        return !lastContact.isZero() && lastContact.compareTo(time) >= 0;
    }

    boolean isUpToDateUnder(String memberIdentity) {
        return hasMatched() && identity.equals(memberIdentity);
    }

    /** It had synced all that was committed when the latest answered request was sent: only then may it join. */
    boolean isCaughtUp() {
        return !identity.isEmpty() && hasMatched() && matchIndex >= commitIndexAtResponse && commitIndexAtResponse > 0;
    }

    /** The latest word of the follower: its identity, whether it may succeed, and that it was there at the time. */
    void onContact(String answeredIdentity, boolean answeredElectable, Duration sentAt) {
        String counted = answeredIdentity.equals(revokedIdentity) ? "" : answeredIdentity;
        if (!counted.equals(identity)) {
            matchIndex = 0;
        }
        identity = counted;
        electable = answeredElectable;
        lastContact = sentAt.compareTo(lastContact) > 0 ? sentAt : lastContact;
    }

    /** Whether a response shows that the follower has less than it had acknowledged under the same identity. */
    Finding check(ReplicationMessages.AppendEntriesResponse response) {
        boolean lost = !response.success() && response.matchIndex() < matchIndex;
        return lost || response.identity().equals(revokedIdentity) ? Finding.LOST_ACKNOWLEDGED : Finding.CURRENT;
    }

    /** From now on the identity counts for nothing; true if it counted until now. */
    boolean revoke(String reportedIdentity) {
        boolean changed = !reportedIdentity.equals(revokedIdentity);
        revokedIdentity = reportedIdentity;
        identity = "";
        matchIndex = 0;
        return changed;
    }

    /** The commit index in the request that was answered last. */
    void onCommitIndexAcknowledged(long commitIndex) {
        commitIndexAtResponse = commitIndex;
    }

    /** The log matches up to the index; an index below the known one changes nothing. */
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

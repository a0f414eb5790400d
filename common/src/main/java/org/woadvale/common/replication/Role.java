package org.woadvale.common.replication;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.EnumSet;
import java.util.Set;

/** The role of a replica; changed only by {@code ReplicaState.transitionTo}. */
public enum Role {
    /** Has no log that it may count with: neither votes nor counts, but accepts entries and snapshots from a leader. */
    UNINITIALIZED("BLANK"),
    /**
     * Votes, and accepts entries from a leader. Entered by bootstrap, recovery, promotion, or on leaving another role.
     */
    FOLLOWER("FOLLOWING"),
    /**
     * Requests votes from the other members. Entered when no lease is running; left on a majority, a later term or a
     * timeout.
     */
    CANDIDATE("STANDING"),
    /**
     * Elected in its term. Acts only while its lease is running; left when the lease expires or leadership is
     * transferred.
     */
    LEADER("OWNING"),
    /** The process is stopping: neither handles nor sends requests. */
    STOPPED("STOPPED");

    private final String statusName;

    Role(String statusName) {
        this.statusName = statusName;
    }

    /** The name in {@code GET /v1/status}, which is older than the names of these constants. */
    @JsonValue
    public String statusName() {
        return statusName;
    }

    Set<Role> successors() {
        return switch (this) {
            case UNINITIALIZED -> EnumSet.of(FOLLOWER, STOPPED);
            case FOLLOWER -> EnumSet.of(CANDIDATE, UNINITIALIZED, STOPPED);
            case CANDIDATE -> EnumSet.of(FOLLOWER, LEADER, STOPPED);
            case LEADER -> EnumSet.of(FOLLOWER, STOPPED);
            case STOPPED -> EnumSet.noneOf(Role.class);
        };
    }
}

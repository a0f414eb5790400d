package org.woadvale.common.replication;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.EnumSet;
import java.util.Set;

/** What a replica is at present; {@code ReplicaState.transitionTo} is the one place that changes it. */
public enum Role {
    /** Has no log that it may count with: neither votes nor counts, but takes entries and snapshots of a leader. */
    UNINITIALIZED("BLANK"),
    /** Votes, and takes entries of a leader. Entered by bootstrap, recovery, promotion, or on leaving another role. */
    FOLLOWER("FOLLOWING"),
    /** Asks the others for their votes. Entered when no lease runs; left by a majority, a later term or a time-out. */
    CANDIDATE("STANDING"),
    /** Elected in its term. Acts only while its lease runs; left when that expired, or in favour of a successor. */
    LEADER("OWNING"),
    /** The process is stopping: takes and sends nothing. */
    STOPPED("STOPPED");

    private final String statusName;

    Role(String statusName) {
        this.statusName = statusName;
    }

    /** The word of {@code GET /v1/status}, which is older than the names here. */
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

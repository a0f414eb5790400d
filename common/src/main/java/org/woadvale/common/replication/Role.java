package org.woadvale.common.replication;

import java.util.EnumSet;
import java.util.Set;

/** What a replica is; Replica.become is the one function that changes it: design 5.2. */
public enum Role {
    /** Without a trusted log: neither votes nor counts. */
    UNINITIALIZED,
    FOLLOWER,
    CANDIDATE,
    LEADER,
    STOPPED;

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

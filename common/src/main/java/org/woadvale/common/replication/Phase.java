package org.woadvale.common.replication;

import java.util.EnumSet;
import java.util.Set;

/** What a replica is; Replica.become is the one function that changes it: design 5.2. */
public enum Phase {
    /** Without a trusted log: neither votes nor counts. */
    BLANK,
    FOLLOWING,
    STANDING,
    OWNING,
    STOPPED;

    Set<Phase> next() {
        return switch (this) {
            case BLANK -> EnumSet.of(FOLLOWING, STOPPED);
            case FOLLOWING -> EnumSet.of(STANDING, BLANK, STOPPED);
            case STANDING -> EnumSet.of(FOLLOWING, OWNING, STOPPED);
            case OWNING -> EnumSet.of(FOLLOWING, STOPPED);
            case STOPPED -> EnumSet.noneOf(Phase.class);
        };
    }
}

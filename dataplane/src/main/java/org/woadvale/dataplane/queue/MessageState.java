package org.woadvale.dataplane.queue;

import java.util.EnumSet;
import java.util.Set;

/**
 * The stored state of a message. Ready is derived and not stored: a waiting message that is due and first of its
 * ordering key. (docs/design.md, section 9.2)
 */
public enum MessageState {
    /** Not running; due now or later. */
    WAITING,
    /** An attempt is in progress. */
    RUNNING,
    /** Executed, with proof. */
    DONE,
    /** Given up: no further attempt is made. */
    FAILED;

    /** The states that may follow this one. */
    public Set<MessageState> next() {
        return switch (this) {
            case WAITING -> EnumSet.of(RUNNING, FAILED, DONE);
            case RUNNING -> EnumSet.of(WAITING, DONE, FAILED);
            default -> EnumSet.noneOf(MessageState.class);
        };
    }

    /** Whether this state is final. */
    public boolean isTerminal() {
        return this == DONE || this == FAILED;
    }
}

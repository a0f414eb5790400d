package org.woadvale.dataplane.queue;

import java.util.EnumSet;
import java.util.Set;

/**
 * Ready is a waiting message that is due and first of its key; it is shown, not stored. (docs/design.md, section 9.2)
 */
public enum MessageState {
    /** Not running; due now or later. */
    WAITING,
    /** An attempt is under way. */
    RUNNING,
    /** Executed, with proof. */
    DONE,
    /** Given up. */
    FAILED;

    /** The states that may follow. */
    public Set<MessageState> next() {
        return switch (this) {
            case WAITING -> EnumSet.of(RUNNING, FAILED, DONE);
            case RUNNING -> EnumSet.of(WAITING, DONE, FAILED);
            default -> EnumSet.noneOf(MessageState.class);
        };
    }

    /** Whether no other state follows. */
    public boolean isTerminal() {
        return this == DONE || this == FAILED;
    }
}

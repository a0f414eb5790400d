package org.woadvale.dataplane.delivery;

import java.util.function.BooleanSupplier;

/**
 * Decides whether a request is sent: once closed, it either was sent before or never will be. (docs/design.md, section
 * 9.3)
 */
final class SendGuard {
    private enum State {
        OPEN,
        SENT,
        CLOSED
    }

    private State state = State.OPEN;

    /** Marks the request as sent, once only and if the final check passes. */
    synchronized boolean trySend(BooleanSupplier finalCheck) {
        if (state == State.OPEN && finalCheck.getAsBoolean()) {
            state = State.SENT;
            return true;
        }
        return false;
    }

    /** Prevents sending from now on; returns true if nothing was sent. */
    synchronized boolean close() {
        state = state == State.OPEN ? State.CLOSED : state;
        return state == State.CLOSED;
    }
}

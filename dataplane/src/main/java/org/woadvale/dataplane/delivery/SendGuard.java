package org.woadvale.dataplane.delivery;

import java.util.function.BooleanSupplier;

/** The moment at which a request leaves: either it was sent, or it never will be. (docs/design.md, section 9.3) */
final class SendGuard {
    private enum State {
        OPEN,
        SENT,
        CLOSED
    }

    private State state = State.OPEN;

    /** Sent once, and only if the last look at everything says so. */
    synchronized boolean trySend(BooleanSupplier lastLook) {
        if (state == State.OPEN && lastLook.getAsBoolean()) {
            state = State.SENT;
            return true;
        }
        return false;
    }

    /** True if nothing was sent; then nothing will be. */
    synchronized boolean close() {
        state = state == State.OPEN ? State.CLOSED : state;
        return state == State.CLOSED;
    }
}

package org.woadvale.dataplane.delivery;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SendGuardTest {
    private final SendGuard guard = new SendGuard();

    @Test
    void closedRequestIsNeverSent() {
        assertTrue(guard.close());
        assertFalse(guard.trySend(() -> true));
    }

    @Test
    void sentRequestCannotBeClosed() {
        assertTrue(guard.trySend(() -> true));
        assertFalse(guard.close());
        assertFalse(guard.trySend(() -> true), "sent once only");
    }

    @Test
    void failedFinalCheckSendsNothingAndMayBeRepeated() {
        assertFalse(guard.trySend(() -> false));
        assertTrue(guard.trySend(() -> true));
    }
}

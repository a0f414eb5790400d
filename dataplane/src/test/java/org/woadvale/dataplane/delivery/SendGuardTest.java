package org.woadvale.dataplane.delivery;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SendGuardTest {
    private final SendGuard guard = new SendGuard();

    @Test
    void whatWasClosedIsNeverSent() {
        assertTrue(guard.close());
        assertFalse(guard.leave(() -> true));
    }

    @Test
    void whatWasSentCannotBeClosed() {
        assertTrue(guard.leave(() -> true));
        assertFalse(guard.close());
        assertFalse(guard.leave(() -> true), "sent once only");
    }

    @Test
    void aRefusedLastCheckSendsNothingAndMayBeTriedAgain() {
        assertFalse(guard.leave(() -> false));
        assertTrue(guard.leave(() -> true));
    }
}

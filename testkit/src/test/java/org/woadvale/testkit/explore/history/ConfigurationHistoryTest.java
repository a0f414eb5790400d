package org.woadvale.testkit.explore.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConfigurationHistoryTest {
    private final ConfigurationHistory history = new ConfigurationHistory("v1");

    @Test
    void oneOfTwoConcurrentPutsIsAccepted() {
        long first = history.putSent("v1", "left");
        long second = history.putSent("v1", "right");
        history.putAccepted(second);
        history.putRefused(first);
        history.readReturned(history.readSent(), "right");
        assertTrue(history.linearizable());
    }

    @Test
    void twoPutsOnTheSameBaseAreNotBothAccepted() {
        long first = history.putSent("v1", "left");
        long second = history.putSent("v1", "right");
        history.putAccepted(first);
        history.putAccepted(second);
        assertFalse(history.linearizable());
    }

    @Test
    void refusedPutIsNeverRead() {
        long first = history.putSent("v1", "left");
        long second = history.putSent("v1", "right");
        history.putAccepted(first);
        history.putRefused(second);
        history.readReturned(history.readSent(), "right");
        assertFalse(history.linearizable());
    }

    @Test
    void putWithoutResponseMayTakeEffect() {
        history.putSent("v1", "lost");
        history.readReturned(history.readSent(), "v1");
        history.readReturned(history.readSent(), "lost");
        assertTrue(history.linearizable());
    }

    @Test
    void putThatWasNotExecutedHasNoEffect() {
        history.notExecuted(history.putSent("v1", "later"));
        history.readReturned(history.readSent(), "later");
        assertFalse(history.linearizable());
        assertEquals(1, history.operations().size());
    }
}

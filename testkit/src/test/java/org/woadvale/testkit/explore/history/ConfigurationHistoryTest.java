package org.woadvale.testkit.explore.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConfigurationHistoryTest {
    private final ConfigurationHistory history = new ConfigurationHistory("v1");

    @Test
    void oneOfTwoOperatorsWins() {
        long first = history.order("v1", "left");
        long second = history.order("v1", "right");
        history.confirmed(second);
        history.refused(first);
        history.returned(history.read(), "right");
        assertTrue(history.linearizable());
    }

    @Test
    void bothOperatorsConfirmed() {
        long first = history.order("v1", "left");
        long second = history.order("v1", "right");
        history.confirmed(first);
        history.confirmed(second);
        assertFalse(history.linearizable());
    }

    @Test
    void loserInForce() {
        long first = history.order("v1", "left");
        long second = history.order("v1", "right");
        history.confirmed(first);
        history.refused(second);
        history.returned(history.read(), "right");
        assertFalse(history.linearizable());
    }

    @Test
    void lostAnswerMayHaveTakenEffect() {
        history.order("v1", "lost");
        history.returned(history.read(), "v1");
        history.returned(history.read(), "lost");
        assertTrue(history.linearizable());
    }

    @Test
    void orderThatWasNotTakenHasNoEffect() {
        history.notTaken(history.order("v1", "later"));
        history.returned(history.read(), "later");
        assertFalse(history.linearizable());
        assertEquals(1, history.operations().size());
    }
}

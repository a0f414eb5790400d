package org.woadvale.testkit.explore.history;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LinearizabilityCheckerTest {
    private static final RegisterModel REGISTER = new RegisterModel("0");
    private final List<Operation<RegisterInput, RegisterOutcome>> history = new ArrayList<>();

    private void read(long from, long to, String value) {
        history.add(Operation.completed(from, to, new RegisterInput.Read(), new RegisterOutcome.Value(value)));
    }

    private void accepted(long from, long to, String base, String next) {
        history.add(Operation.completed(from, to, new RegisterInput.Put(base, next), new RegisterOutcome.Accepted()));
    }

    private void refused(long from, long to, String base, String next) {
        history.add(Operation.completed(from, to, new RegisterInput.Put(base, next), new RegisterOutcome.Refused()));
    }

    private void unknown(long from, String base, String next) {
        history.add(Operation.unknown(from, new RegisterInput.Put(base, next)));
    }

    private boolean linearizable() {
        return LinearizabilityChecker.check(REGISTER, history);
    }

    @Test
    void emptyHistoryIsLinearizable() {
        assertTrue(linearizable());
    }

    @Test
    void sequentialCalls() {
        accepted(1, 2, "0", "a");
        read(3, 4, "a");
        refused(5, 6, "0", "b");
        accepted(7, 8, "a", "b");
        read(9, 10, "b");
        assertTrue(linearizable());
    }

    @Test
    void readMustNotMissAnAcknowledgedPut() {
        accepted(1, 2, "0", "a");
        read(3, 4, "0");
        assertFalse(linearizable());
    }

    @Test
    void readsMayOverlapThePut() {
        accepted(1, 6, "0", "a");
        read(2, 3, "0");
        read(4, 5, "a");
        assertTrue(linearizable());
    }

    @Test
    void readsMustNotReturnOlderValues() {
        accepted(1, 6, "0", "a");
        read(2, 3, "a");
        read(4, 5, "0");
        assertFalse(linearizable());
    }

    @Test
    void twoPutsOnOneBaseAreNotBothAccepted() {
        accepted(1, 4, "0", "a");
        accepted(2, 3, "0", "b");
        assertFalse(linearizable());
    }

    @Test
    void putOnTheCurrentValueIsNotRefused() {
        refused(1, 2, "0", "a");
        assertFalse(linearizable());
    }

    @Test
    void refusalAfterAPutOfUnknownOutcome() {
        unknown(1, "0", "a");
        refused(2, 3, "0", "b");
        read(4, 5, "a");
        assertTrue(linearizable());
    }

    @Test
    void putOfUnknownOutcomeMayTakeEffectLate() {
        unknown(1, "0", "a");
        read(2, 3, "0");
        read(4, 5, "a");
        assertTrue(linearizable());
    }

    @Test
    void putOfUnknownOutcomeTakesEffectOnce() {
        unknown(1, "0", "a");
        read(2, 3, "a");
        accepted(4, 5, "a", "0");
        read(6, 7, "a");
        assertFalse(linearizable());
    }

    @Test
    void putOfUnknownOutcomeNeedsNoEffect() {
        unknown(1, "0", "a");
        accepted(2, 3, "0", "b");
        read(4, 5, "b");
        assertTrue(linearizable());
    }

    @Test
    void readMustNotReturnAValueThatWasNeverPut() {
        unknown(1, "0", "a");
        read(2, 3, "b");
        assertFalse(linearizable());
    }

    /** Without memoization of the visited states this would take 2^40 steps. */
    @Test
    void manyUnknownOutcomesAreDecidedQuickly() {
        for (int i = 1; i <= 40; i++) {
            unknown(i, "0", "x" + i);
        }
        read(100, 101, "x17");
        read(102, 103, "x18");
        assertFalse(linearizable());
    }
}

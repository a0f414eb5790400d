package org.woadvale.testkit.explore;

/** Ends a run of the model at the first state in which an invariant does not hold. */
final class InvariantViolationException extends Exception {
    private static final long serialVersionUID = 1L;
    private final Invariant invariant;

    InvariantViolationException(Invariant invariant, String detail) {
        super(detail, null, false, false);
        this.invariant = invariant;
    }

    Invariant invariant() {
        return invariant;
    }
}

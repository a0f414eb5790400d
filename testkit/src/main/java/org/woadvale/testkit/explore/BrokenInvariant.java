package org.woadvale.testkit.explore;

/** Ends a run of the model at the state where an invariant does not hold. */
final class BrokenInvariant extends Exception {
    private static final long serialVersionUID = 1L;
    private final Invariant invariant;

    BrokenInvariant(Invariant invariant, String detail) {
        super(detail, null, false, false);
        this.invariant = invariant;
    }

    Invariant invariant() {
        return invariant;
    }
}

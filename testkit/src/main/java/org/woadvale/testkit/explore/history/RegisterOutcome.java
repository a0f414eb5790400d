package org.woadvale.testkit.explore.history;

/** What a register with compare-and-set answers. */
public sealed interface RegisterOutcome {
    /** The value that a read returned. */
    record Value(String value) implements RegisterOutcome {}

    /** The put has set its value. */
    record Accepted() implements RegisterOutcome {}

    /** The put's base was not the present value. */
    record Refused() implements RegisterOutcome {}
}

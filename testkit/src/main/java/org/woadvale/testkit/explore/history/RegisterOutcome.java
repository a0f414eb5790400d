package org.woadvale.testkit.explore.history;

/** The outcome of a request to a register with compare-and-set. */
public sealed interface RegisterOutcome {
    /** The value that a read returned. */
    record Value(String value) implements RegisterOutcome {}

    /** The put set its value. */
    record Accepted() implements RegisterOutcome {}

    /** The base of the put was not the current value. */
    record Refused() implements RegisterOutcome {}
}

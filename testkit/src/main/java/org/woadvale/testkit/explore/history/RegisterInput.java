package org.woadvale.testkit.explore.history;

/** A request to a register with compare-and-set. */
public sealed interface RegisterInput {
    /** Reads the current value. */
    record Read() implements RegisterInput {}

    /** Sets the next value if the current value is the base. */
    record Put(String base, String next) implements RegisterInput {}
}

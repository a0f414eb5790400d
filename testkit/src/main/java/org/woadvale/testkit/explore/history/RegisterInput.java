package org.woadvale.testkit.explore.history;

/** What may be asked of a register with compare-and-set. */
public sealed interface RegisterInput {
    /** Asks for the present value. */
    record Read() implements RegisterInput {}

    /** Sets the next value if the present one is the base. */
    record Put(String base, String next) implements RegisterInput {}
}

package org.woadvale.testkit.explore.history;

import java.util.Optional;

/**
 * One call of a history. Invocation and response are places in the order in which the observer saw them; a call without
 * an outcome may take effect at any time after its invocation, or never.
 */
public record Operation<I, O>(long invoked, long responded, I input, Optional<O> outcome) {
    /** The place of the response of a call that was never answered. */
    public static final long NEVER = Long.MAX_VALUE;

    /** A call that was answered. */
    public static <I, O> Operation<I, O> completed(long invoked, long responded, I input, O outcome) {
        return new Operation<>(invoked, responded, input, Optional.of(outcome));
    }

    /** A call whose outcome is unknown. */
    public static <I, O> Operation<I, O> unknown(long invoked, I input) {
        return new Operation<>(invoked, NEVER, input, Optional.empty());
    }
}

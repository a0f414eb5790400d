package org.woadvale.testkit.explore.history;

import java.util.Optional;

/**
 * One call of a history. Invocation and response are positions in the order in which the observer saw the events. A
 * call without an outcome may take effect at any time after its invocation, or never.
 */
public record Operation<I, O>(long invoked, long responded, I input, Optional<O> outcome) {
    /** The response position of a call without a response. */
    public static final long NEVER = Long.MAX_VALUE;

    /** A call that completed with a known outcome. */
    public static <I, O> Operation<I, O> completed(long invoked, long responded, I input, O outcome) {
        return new Operation<>(invoked, responded, input, Optional.of(outcome));
    }

    /** A call whose outcome is unknown. */
    public static <I, O> Operation<I, O> unknown(long invoked, I input) {
        return new Operation<>(invoked, NEVER, input, Optional.empty());
    }
}

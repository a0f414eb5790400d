package org.woadvale.testkit.explore.history;

import java.util.Optional;

/** The sequential specification of an object. States must implement equals and hashCode. */
public interface SequentialModel<S, I, O> {
    /** The state before the first call. */
    S initial();

    /** The state after the call, or empty if the call cannot have the outcome in this state. */
    Optional<S> step(S state, I input, O outcome);

    /** The state after a call whose outcome is unknown. */
    S stepWithoutOutcome(S state, I input);
}

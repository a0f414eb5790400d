package org.woadvale.testkit.explore.history;

import java.util.Optional;

/** An object used by one caller at a time; states are values with equals and hashCode. */
public interface SequentialModel<S, I, O> {
    /** The state before the first call. */
    S initial();

    /** The state after the call, or empty if the call cannot have the outcome in this state. */
    Optional<S> step(S state, I input, O outcome);

    /** The state after a call whose outcome nobody has seen. */
    S stepUnseen(S state, I input);
}

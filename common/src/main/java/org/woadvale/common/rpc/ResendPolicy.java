package org.woadvale.common.rpc;

import org.woadvale.common.error.ErrorKind;

/** After which failures a request may be sent again, to the same peer or to another. */
public enum ResendPolicy {
    /** For a {@link RepeatableRequest}: also while the outcome is unknown. */
    AFTER_UNKNOWN_OUTCOME,
    /** For an {@link AtMostOnceRequest}: only if the failure proves that nothing was executed. */
    IF_NOT_EXECUTED;

    /** Whether the failure is due to the peer or the connection to it and sending again is safe. */
    public boolean allows(ErrorKind failure) {
        return switch (failure) {
            case NOT_OWNER, UNREACHABLE, STOPPING, EXPIRED -> true;
            case UNKNOWN_OUTCOME -> this == AFTER_UNKNOWN_OUTCOME;
            default -> false;
        };
    }
}

package org.woadvale.common.error;

import java.util.List;

/** The request was sent, but whether it was executed is unknown. */
public final class OutcomeUnknownException extends ServiceException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public OutcomeUnknownException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public OutcomeUnknownException(String message, List<String> details) {
        super(ErrorKind.UNKNOWN_OUTCOME, message, details);
    }
}

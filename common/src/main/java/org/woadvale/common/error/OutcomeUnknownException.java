package org.woadvale.common.error;

import java.util.List;

/** The request was sent, and it is not known whether it was executed. */
public final class OutcomeUnknownException extends ServiceException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public OutcomeUnknownException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public OutcomeUnknownException(String message, List<String> details) {
        super(ErrorKind.UNKNOWN_OUTCOME, message, details);
    }
}

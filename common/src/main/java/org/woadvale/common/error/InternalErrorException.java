package org.woadvale.common.error;

import java.util.List;

/** An internal error of this program; the outcome of the request is unknown. */
public final class InternalErrorException extends ServiceException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public InternalErrorException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public InternalErrorException(String message, List<String> details) {
        super(ErrorKind.INTERNAL, message, details);
    }
}

package org.woadvale.common.error;

import java.util.List;

/** The request exceeds the size limit. */
public final class RequestTooLargeException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public RequestTooLargeException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public RequestTooLargeException(String message, List<String> details) {
        super(ErrorKind.TOO_LARGE, message, details);
    }
}

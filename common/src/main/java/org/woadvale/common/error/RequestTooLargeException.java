package org.woadvale.common.error;

import java.util.List;

/** The request has more bytes than are accepted. */
public final class RequestTooLargeException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public RequestTooLargeException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public RequestTooLargeException(String message, List<String> details) {
        super(ErrorKind.TOO_LARGE, message, details);
    }
}

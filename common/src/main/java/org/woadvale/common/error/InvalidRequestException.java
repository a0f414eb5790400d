package org.woadvale.common.error;

import java.util.List;

/** The request cannot be parsed or contains a value that is not allowed; the details name each invalid place. */
public final class InvalidRequestException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public InvalidRequestException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public InvalidRequestException(String message, List<String> details) {
        super(ErrorKind.BAD_REQUEST, message, details);
    }
}

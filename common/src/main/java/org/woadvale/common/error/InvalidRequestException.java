package org.woadvale.common.error;

import java.util.List;

/** The request cannot be read, or one of its values is not allowed; the details name each place. */
public final class InvalidRequestException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public InvalidRequestException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public InvalidRequestException(String message, List<String> details) {
        super(ErrorKind.BAD_REQUEST, message, details);
    }
}

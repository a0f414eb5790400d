package org.woadvale.common.error;

import java.util.List;

/** The key is missing, unknown or revoked. */
public final class UnauthorizedException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public UnauthorizedException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public UnauthorizedException(String message, List<String> details) {
        super(ErrorKind.UNAUTHORISED, message, details);
    }
}

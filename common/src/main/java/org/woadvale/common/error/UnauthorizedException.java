package org.woadvale.common.error;

import java.util.List;

/** The key is missing, unknown or withdrawn. */
public final class UnauthorizedException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public UnauthorizedException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public UnauthorizedException(String message, List<String> details) {
        super(ErrorKind.UNAUTHORISED, message, details);
    }
}

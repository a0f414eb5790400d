package org.woadvale.common.error;

import java.util.List;

/** The key is valid and does not allow this. */
public final class ForbiddenException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public ForbiddenException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public ForbiddenException(String message, List<String> details) {
        super(ErrorKind.FORBIDDEN, message, details);
    }
}

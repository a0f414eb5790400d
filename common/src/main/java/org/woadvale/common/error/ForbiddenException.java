package org.woadvale.common.error;

import java.util.List;

/** The key is valid but does not permit the request. */
public final class ForbiddenException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public ForbiddenException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public ForbiddenException(String message, List<String> details) {
        super(ErrorKind.FORBIDDEN, message, details);
    }
}

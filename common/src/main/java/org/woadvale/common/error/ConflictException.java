package org.woadvale.common.error;

import java.util.List;

/** The present state, or an earlier request with the same id, contradicts the request. */
public final class ConflictException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public ConflictException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public ConflictException(String message, List<String> details) {
        super(ErrorKind.CONFLICT, message, details);
    }
}

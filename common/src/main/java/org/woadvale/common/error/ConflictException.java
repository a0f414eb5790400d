package org.woadvale.common.error;

import java.util.List;

/** The request conflicts with the current state or with an earlier request that has the same id. */
public final class ConflictException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public ConflictException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public ConflictException(String message, List<String> details) {
        super(ErrorKind.CONFLICT, message, details);
    }
}

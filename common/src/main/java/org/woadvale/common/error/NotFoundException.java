package org.woadvale.common.error;

import java.util.List;

/** The requested resource does not exist. */
public final class NotFoundException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public NotFoundException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public NotFoundException(String message, List<String> details) {
        super(ErrorKind.NOT_FOUND, message, details);
    }
}

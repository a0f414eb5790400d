package org.woadvale.common.error;

import java.util.List;

/** Something that the request depends on is temporarily unavailable. */
public final class UnavailableException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public UnavailableException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public UnavailableException(String message, List<String> details) {
        super(ErrorKind.UNAVAILABLE, message, details);
    }
}

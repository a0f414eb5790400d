package org.woadvale.common.error;

import java.util.List;

/** What the request needs cannot be reached right now. */
public final class UnavailableException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public UnavailableException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public UnavailableException(String message, List<String> details) {
        super(ErrorKind.UNAVAILABLE, message, details);
    }
}

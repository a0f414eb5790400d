package org.woadvale.common.error;

import java.util.List;

/** The request was not sent: no connection to the peer. */
public final class UnreachableException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public UnreachableException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public UnreachableException(String message, List<String> details) {
        super(ErrorKind.UNREACHABLE, message, details);
    }
}

package org.woadvale.common.error;

import java.util.List;

/** The request was not sent because there is no connection to the peer. */
public final class UnreachableException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public UnreachableException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public UnreachableException(String message, List<String> details) {
        super(ErrorKind.UNREACHABLE, message, details);
    }
}

package org.woadvale.common.error;

import java.util.List;

/** The node is stopping. */
public final class StoppingException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public StoppingException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public StoppingException(String message, List<String> details) {
        super(ErrorKind.STOPPING, message, details);
    }
}

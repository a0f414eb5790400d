package org.woadvale.common.error;

import java.util.List;

/** The node is stopping. */
public final class StoppingException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public StoppingException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public StoppingException(String message, List<String> details) {
        super(ErrorKind.STOPPING, message, details);
    }
}

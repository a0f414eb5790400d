package org.woadvale.common.error;

import java.util.List;

/** This node's view of the configuration or of a service is too old to act on. */
public final class StaleViewException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public StaleViewException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public StaleViewException(String message, List<String> details) {
        super(ErrorKind.STALE_VIEW, message, details);
    }
}

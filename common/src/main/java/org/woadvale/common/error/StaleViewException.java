package org.woadvale.common.error;

import java.util.List;

/** What is known here of the configuration or of a service is too old to act on. */
public final class StaleViewException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public StaleViewException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public StaleViewException(String message, List<String> details) {
        super(ErrorKind.STALE_VIEW, message, details);
    }
}

package org.woadvale.common.error;

import java.util.List;

/** A configuration fails validation; the details name each invalid place. */
public final class InvalidConfigurationException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public InvalidConfigurationException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public InvalidConfigurationException(String message, List<String> details) {
        super(ErrorKind.INVALID_LAYOUT, message, details);
    }
}

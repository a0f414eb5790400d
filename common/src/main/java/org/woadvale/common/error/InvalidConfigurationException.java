package org.woadvale.common.error;

import java.util.List;

/** A configuration breaks its rules; the details name each place. */
public final class InvalidConfigurationException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public InvalidConfigurationException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public InvalidConfigurationException(String message, List<String> details) {
        super(ErrorKind.INVALID_LAYOUT, message, details);
    }
}

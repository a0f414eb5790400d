package org.woadvale.common.error;

import java.util.List;

/** The configuration in force has no such lane. */
public final class UnknownLaneException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public UnknownLaneException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public UnknownLaneException(String message, List<String> details) {
        super(ErrorKind.UNKNOWN_LANE, message, details);
    }
}

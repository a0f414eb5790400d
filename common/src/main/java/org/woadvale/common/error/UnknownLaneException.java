package org.woadvale.common.error;

import java.util.List;

/** The active configuration does not contain the lane. */
public final class UnknownLaneException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public UnknownLaneException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public UnknownLaneException(String message, List<String> details) {
        super(ErrorKind.UNKNOWN_LANE, message, details);
    }
}

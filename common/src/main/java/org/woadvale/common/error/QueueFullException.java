package org.woadvale.common.error;

import java.util.List;

/** A bounded queue or store has no room. */
public final class QueueFullException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public QueueFullException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public QueueFullException(String message, List<String> details) {
        super(ErrorKind.QUEUE_FULL, message, details);
    }
}

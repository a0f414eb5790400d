package org.woadvale.common.error;

import java.util.List;

/** A bounded queue or store is full. */
public final class QueueFullException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public QueueFullException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public QueueFullException(String message, List<String> details) {
        super(ErrorKind.QUEUE_FULL, message, details);
    }
}

package org.woadvale.common.error;

import java.util.List;
import java.util.Optional;

/** A rate limit was exceeded; carries the time after which the caller may retry, if it is known. */
public final class ThrottledException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public ThrottledException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public ThrottledException(String message, List<String> details) {
        super(ErrorKind.THROTTLED, message, details);
    }

    /** Creates an exception with the number of seconds after which the caller may retry. */
    public ThrottledException(String message, long retryAfterSeconds) {
        this(message, List.of(Long.toString(retryAfterSeconds)));
    }

    /** The number of seconds after which the caller may retry, if it is known. */
    public Optional<String> retryAfterSeconds() {
        return details().stream().findFirst();
    }
}

package org.woadvale.common.error;

import java.util.List;
import java.util.Optional;

/** A rate limit is reached; the caller may come back after the time that it carries. */
public final class ThrottledException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public ThrottledException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public ThrottledException(String message, List<String> details) {
        super(ErrorKind.THROTTLED, message, details);
    }

    /** The caller may come back after so many seconds. */
    public ThrottledException(String message, long retryAfterSeconds) {
        this(message, List.of(Long.toString(retryAfterSeconds)));
    }

    /** When the caller may come back, in seconds, if that is known. */
    public Optional<String> retryAfterSeconds() {
        return details().stream().findFirst();
    }
}

package org.woadvale.common.error;

import java.util.Locale;
import org.apache.logging.log4j.Level;

/** The one closed list of error kinds, with the table from kind to answer: design 9. */
public enum ErrorKind {
    BAD_REQUEST(400, true, false, Level.INFO),
    UNAUTHORISED(401, true, false, Level.INFO),
    FORBIDDEN(403, true, false, Level.INFO),
    NOT_FOUND(404, true, false, Level.DEBUG),
    UNKNOWN_LANE(404, true, false, Level.INFO),
    CONFLICT(409, true, false, Level.INFO),
    STALE_BASE(412, true, false, Level.INFO),
    TOO_LARGE(413, true, false, Level.INFO),
    INVALID_LAYOUT(422, true, false, Level.INFO),
    THROTTLED(429, true, true, Level.DEBUG),
    INTERNAL(500, false, true, Level.ERROR),
    QUEUE_FULL(503, true, true, Level.WARN),
    STALE_VIEW(503, true, true, Level.WARN),
    NOT_OWNER(503, true, true, Level.DEBUG),
    UNAVAILABLE(503, true, true, Level.WARN),
    EXPIRED(503, true, true, Level.INFO),
    STOPPING(503, true, true, Level.INFO),
    UNREACHABLE(503, true, true, Level.WARN),
    UNKNOWN_OUTCOME(504, false, true, Level.WARN);

    private final int status;
    private final boolean definite;
    private final boolean retryable;
    private final Level level;

    ErrorKind(int status, boolean definite, boolean retryable, Level level) {
        this.status = status;
        this.definite = definite;
        this.retryable = retryable;
        this.level = level;
    }

    public int status() {
        return status;
    }

    /** True where the asked thing has not happened and never will through this request. */
    public boolean definite() {
        return definite;
    }

    public boolean retryable() {
        return retryable;
    }

    public Level level() {
        return level;
    }

    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

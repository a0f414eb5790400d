package org.woadvale.common.error;

import java.util.Locale;
import org.apache.logging.log4j.Level;

/**
 * The one closed list of error kinds, with the table from kind to HTTP answer. Names are sent between nodes and to
 * callers.
 */
public enum ErrorKind {
    /** The request cannot be read or has a value that is not allowed. */
    BAD_REQUEST(400, true, false, Level.INFO),
    /** The key is missing or unknown. */
    UNAUTHORISED(401, true, false, Level.INFO),
    /** The key does not allow this. */
    FORBIDDEN(403, true, false, Level.INFO),
    /** No such thing. */
    NOT_FOUND(404, true, false, Level.DEBUG),
    /** The configuration has no such lane. */
    UNKNOWN_LANE(404, true, false, Level.INFO),
    /** Contradicts the state, or an earlier request of the same id. */
    CONFLICT(409, true, false, Level.INFO),
    /** Made from another version than the present one. */
    STALE_BASE(412, true, false, Level.INFO),
    /** Too many bytes. */
    TOO_LARGE(413, true, false, Level.INFO),
    /** A configuration that breaks its rules. */
    INVALID_LAYOUT(422, true, false, Level.INFO),
    /** A rate limit is reached. */
    THROTTLED(429, true, true, Level.DEBUG),
    /** A fault of this program. */
    INTERNAL(500, false, true, Level.ERROR),
    /** No room in a bounded queue or store. */
    QUEUE_FULL(503, true, true, Level.WARN),
    /** What is known here is too old to act on. */
    STALE_VIEW(503, true, true, Level.WARN),
    /** Another node leads the partition, or none. */
    NOT_OWNER(503, true, true, Level.DEBUG),
    /** What the request needs cannot be reached. */
    UNAVAILABLE(503, true, true, Level.WARN),
    /** Arrived after its deadline and was not executed. */
    EXPIRED(503, true, true, Level.INFO),
    /** The node is stopping. */
    STOPPING(503, true, true, Level.INFO),
    /** Not sent: no connection to the peer. */
    UNREACHABLE(503, true, true, Level.WARN),
    /** Sent, and not known whether executed. */
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

    /** The HTTP status. */
    public int status() {
        return status;
    }

    /** True where the asked thing has not happened and never will through this request. */
    public boolean definite() {
        return definite;
    }

    /** Whether the same request may succeed later. */
    public boolean retryable() {
        return retryable;
    }

    /** At which level it is logged. */
    public Level level() {
        return level;
    }

    /** Its name in HTTP bodies. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

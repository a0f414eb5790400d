package org.woadvale.common.error;

import java.util.Locale;
import org.apache.logging.log4j.Level;

/**
 * The closed list of error kinds. Each kind has its HTTP status, whether the failure is definite, whether a retry may
 * succeed, and the log level. The names are sent to other nodes and to callers.
 */
public enum ErrorKind {
    /** The request cannot be parsed or contains a value that is not allowed. */
    BAD_REQUEST(400, true, false, Level.INFO),
    /** The key is missing or unknown. */
    UNAUTHORISED(401, true, false, Level.INFO),
    /** The key does not permit the request. */
    FORBIDDEN(403, true, false, Level.INFO),
    /** The requested resource does not exist. */
    NOT_FOUND(404, true, false, Level.DEBUG),
    /** The configuration does not contain the lane. */
    UNKNOWN_LANE(404, true, false, Level.INFO),
    /** The request conflicts with the current state or with an earlier request that has the same id. */
    CONFLICT(409, true, false, Level.INFO),
    /** The update is based on a version other than the current one. */
    STALE_BASE(412, true, false, Level.INFO),
    /** The request exceeds the size limit. */
    TOO_LARGE(413, true, false, Level.INFO),
    /** The configuration fails validation. */
    INVALID_LAYOUT(422, true, false, Level.INFO),
    /** A rate limit was exceeded. */
    THROTTLED(429, true, true, Level.DEBUG),
    /** An internal error of this program; the outcome of the request is unknown. */
    INTERNAL(500, false, true, Level.ERROR),
    /** A bounded queue or store is full. */
    QUEUE_FULL(503, true, true, Level.WARN),
    /** This node's view of the configuration or of a service is too old to act on. */
    STALE_VIEW(503, true, true, Level.WARN),
    /** This node does not lead the partition. */
    NOT_OWNER(503, true, true, Level.DEBUG),
    /** Something that the request depends on is temporarily unavailable. */
    UNAVAILABLE(503, true, true, Level.WARN),
    /** The request arrived after its deadline and was not executed. */
    EXPIRED(503, true, true, Level.INFO),
    /** The node is stopping. */
    STOPPING(503, true, true, Level.INFO),
    /** The request was not sent because there is no connection to the peer. */
    UNREACHABLE(503, true, true, Level.WARN),
    /** The request was sent, but whether it was executed is unknown. */
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

    /** The HTTP status of the response. */
    public int status() {
        return status;
    }

    /** Whether it is certain that the request was not executed and never will be. */
    public boolean definite() {
        return definite;
    }

    /** Whether the same request may succeed later. */
    public boolean retryable() {
        return retryable;
    }

    /** The level at which failures of this kind are logged. */
    public Level level() {
        return level;
    }

    /** The name in HTTP bodies. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

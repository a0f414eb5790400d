package org.woadvale.common.ratelimit;

import java.time.Duration;

/** A token bucket; callers pass in the time. The other buckets build on it. (docs/design.md, section 8.1) */
public final class TokenBucket {
    /** A level that is less than this below a whole number counts as that number. */
    static final double ROUNDING = 1e-9;

    private static final double NANOS_PER_SECOND = 1e9;

    private RateLimit limit;
    private double level;
    private Duration filledAt;

    /** A bucket with the given level at the given time. */
    public TokenBucket(RateLimit limit, double level, Duration now) {
        this.limit = limit;
        this.level = Math.min(level, limit.burst());
        this.filledAt = now;
    }

    /** Returns a full bucket. */
    public static TokenBucket full(RateLimit limit, Duration now) {
        return new TokenBucket(limit, limit.burst(), now);
    }

    /** Replaces the limit; tokens above the new burst size are dropped. */
    public void setLimit(RateLimit newLimit) {
        limit = newLimit;
        level = Math.min(level, newLimit.burst());
    }

    /**
     * Refills up to the burst size less the outstanding tokens; a time before the previous refill adds nothing.
     */
    public void fill(Duration now, double outstanding) {
        if (now.compareTo(filledAt) > 0) {
            level += now.minus(filledAt).toNanos() / NANOS_PER_SECOND * limit.ratePerS();
            filledAt = now;
        }
        level = Math.max(0, Math.min(level, limit.burst() - outstanding));
    }

    /** Takes the given number of tokens, or none if there are fewer. */
    public boolean take(double tokens) {
        if (level + ROUNDING < tokens) {
            return false;
        }
        level -= tokens;
        return true;
    }

    /** Puts tokens back; the next {@link #fill} limits the level. */
    public void putBack(double tokens) {
        level += tokens;
    }

    /** Returns the number of tokens as of the last refill. */
    public double level() {
        return level;
    }

    /** Returns the present limit. */
    public RateLimit limit() {
        return limit;
    }

    /** Returns the time until the given number of tokens is available if none are taken meanwhile. */
    public Duration timeUntil(double tokens) {
        double missing = Math.max(0, tokens - level);
        return Duration.ofNanos((long) (missing / limit.ratePerS() * NANOS_PER_SECOND));
    }
}

package org.woadvale.common.ratelimit;

import java.time.Duration;

/** A plain token bucket on a given clock; the base of every other bucket here. (docs/design.md, section 8.1) */
public final class TokenBucket {
    /** A level that is short of a whole number by less than this counts as that number. */
    static final double ROUNDING = 1e-9;

    private static final double NANOS_PER_SECOND = 1e9;

    private RateLimit limit;
    private double level;
    private Duration filled;

    /** A bucket with so many tokens at a time. */
    public TokenBucket(RateLimit allowance, double level, Duration from) {
        this.limit = allowance;
        this.level = Math.min(level, allowance.burst());
        this.filled = from;
    }

    /** A bucket with as many tokens as it can hold. */
    public static TokenBucket full(RateLimit limit, Duration now) {
        return new TokenBucket(limit, limit.burst(), now);
    }

    /** Another limit applies from now on; what is above it is lost. */
    public void setLimit(RateLimit rateLimit) {
        limit = rateLimit;
        level = Math.min(level, rateLimit.burst());
    }

    /** Fills up to the burst less what is out; a time before the start of filling adds nothing. */
    public void fill(Duration now, double outstanding) {
        if (now.compareTo(filled) > 0) {
            level += now.minus(filled).toNanos() / NANOS_PER_SECOND * limit.ratePerS();
            filled = now;
        }
        level = Math.max(0, Math.min(level, limit.burst() - outstanding));
    }

    /** Takes so many tokens, or none if there are fewer. */
    public boolean take(double tokens) {
        if (level + ROUNDING < tokens) {
            return false;
        }
        level -= tokens;
        return true;
    }

    /** Puts tokens back, up to the limit. */
    public void putBack(double tokens) {
        level += tokens;
    }

    /** The tokens at the time of the last fill. */
    public double level() {
        return level;
    }

    /** The limit that applies. */
    public RateLimit limit() {
        return limit;
    }

    /** How long until so many tokens are there, if nobody else takes any. */
    public Duration timeUntil(double tokens) {
        double missing = Math.max(0, tokens - level);
        return Duration.ofNanos((long) (missing / limit.ratePerS() * NANOS_PER_SECOND));
    }
}

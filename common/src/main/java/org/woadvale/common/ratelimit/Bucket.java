package org.woadvale.common.ratelimit;

import java.time.Duration;

/** A plain token bucket on a given clock; the base of every other bucket here. design 8.1 */
public final class Bucket {
    private RateLimit limit;
    private double level;
    private Duration filled;

    public Bucket(RateLimit allowance, double level, Duration from) {
        this.limit = allowance;
        this.level = Math.min(level, allowance.burst());
        this.filled = from;
    }

    public static Bucket full(RateLimit limit, Duration now) {
        return new Bucket(limit, limit.burst(), now);
    }

    public void change(RateLimit rateLimit) {
        limit = rateLimit;
        level = Math.min(level, rateLimit.burst());
    }

    /** Fills up to the burst less what is out; a time before the start of filling adds nothing. */
    public void fill(Duration now, double outstanding) {
        if (now.compareTo(filled) > 0) {
            level += now.minus(filled).toNanos() / 1e9 * limit.ratePerS();
            filled = now;
        }
        level = Math.max(0, Math.min(level, limit.burst() - outstanding));
    }

    public boolean take(double n) {
        if (level + 1e-9 < n) {
            return false;
        }
        level -= n;
        return true;
    }

    public void putBack(double n) {
        level += n;
    }

    public double level() {
        return level;
    }

    public RateLimit limit() {
        return limit;
    }

    /** How long until so many tokens are there, if nobody else takes any. */
    public Duration until(double n) {
        double missing = Math.max(0, n - level);
        return Duration.ofNanos((long) (missing / limit.ratePerS() * 1e9));
    }
}

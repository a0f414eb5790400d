package org.woadvale.common.ratelimit;

/** The refill rate and the burst size of a token bucket. */
public record RateLimit(double ratePerS, double burst) {}

package org.woadvale.common.ratelimit;

/** The rate and the size of one shared bucket. */
public record RateLimit(double ratePerS, double burst) {}

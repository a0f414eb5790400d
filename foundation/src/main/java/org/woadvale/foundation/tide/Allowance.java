package org.woadvale.foundation.tide;

/** The rate and the size of one shared bucket. */
public record Allowance(double ratePerS, double burst) { }

package org.woadvale.testkit.explore;

import java.time.Duration;

/**
 * The limits of an enumeration.
 *
 * @param depth the maximum number of steps of a schedule after the start state
 * @param deviations the maximum number of non-default steps of a schedule; has no effect unless it is below depth
 * @param states the maximum number of distinct states
 * @param time the time limit; a run that reaches it is not reproducible
 */
record ExploreBounds(int depth, int deviations, long states, Duration time) {
    private static final Duration UNLIMITED = Duration.ofDays(1000);

    /** Bounds without a time limit, so that equal bounds give equal runs. */
    static ExploreBounds of(int depth, int deviations, long states) {
        return new ExploreBounds(depth, deviations, states, UNLIMITED);
    }
}

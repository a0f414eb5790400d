package org.woadvale.testkit.explore;

import java.time.Duration;

/**
 * Where an enumeration ends.
 *
 * @param depth the most steps of a schedule after the start state
 * @param deviations the most steps of a schedule that are not the default one; no bound if not below depth
 * @param states the most different states
 * @param time the most time; for runs that need not be the same each time
 */
record ExploreBounds(int depth, int deviations, long states, Duration time) {
    private static final Duration UNLIMITED = Duration.ofDays(1000);

    /** Bounds that give the same run each time. */
    static ExploreBounds of(int depth, int deviations, long states) {
        return new ExploreBounds(depth, deviations, states, UNLIMITED);
    }
}

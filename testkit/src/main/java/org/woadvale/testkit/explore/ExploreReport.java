package org.woadvale.testkit.explore;

import java.time.Duration;
import java.util.List;

/**
 * What an enumeration has seen.
 *
 * @param deepest the longest schedule that led to a new state
 * @param deviations every schedule with fewer deviations, and within the depth, was tried
 * @param complete whether everything within depth and deviations was tried
 */
record ExploreReport(
        long states,
        long steps,
        int deepest,
        int deviations,
        boolean complete,
        Duration took,
        List<Violation> violations) {
    long statesPerSecond() {
        return states * 1000 / Math.max(1, took.toMillis());
    }
}

package org.woadvale.testkit.explore;

import java.time.Duration;
import java.util.List;

/**
 * The result of an enumeration.
 *
 * @param deepest the length of the longest schedule that reached a new state
 * @param deviations every schedule with fewer deviations that stays within the depth was tried
 * @param complete whether every schedule within the bounds of depth and deviations was tried
 */
record ExploreReport(
        long states,
        long steps,
        int deepest,
        int deviations,
        boolean complete,
        Duration elapsed,
        List<Violation> violations) {
    long statesPerSecond() {
        return states * 1000 / Math.max(1, elapsed.toMillis());
    }
}

package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.woadvale.common.error.ServiceException;

/**
 * The next tolerated loss may come as soon as the replacement of the first store counts as available (docs/design.md,
 * section 6.9).
 */
class StoreReplacementTest {
    private static final int SEEDS = 4;
    /** Of the 4.1 s that the users allow, the start of the process takes two. */
    private static final Duration LIMIT = Duration.ofMillis(3000);

    @ParameterizedTest
    @EnumSource(StoreReplacement.Departure.class)
    void secondLossAfterAReplacementLosesNothing(StoreReplacement.Departure departure) throws ServiceException {
        for (long seed = 1; seed <= SEEDS; seed++) {
            StoreReplacement.Outcome outcome = StoreReplacement.play(seed, departure);
            assertEquals(List.of(), outcome.violations().stream().limit(3).toList(), departure + " with seed " + seed);
            assertTrue(
                    outcome.startToVotingEverywhere().compareTo(LIMIT) < 0,
                    departure + " with seed " + seed + " took " + outcome.startToVotingEverywhere());
        }
    }
}

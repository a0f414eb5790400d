package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;

/** A few seeded runs with injected faults; `trials platform --seeds A..B` runs more. */
class SeededPlatformDaysTest {
    @Test
    void seededFaultsBreakNoRule() throws ServiceException {
        for (long seed = 1; seed <= 3; seed++) {
            SeededPlatformDays simulation = new SeededPlatformDays(seed);
            assertEquals(List.of(), simulation.run(Duration.ofSeconds(30)), "seed " + seed + ": " + simulation.log());
        }
    }
}

package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;

/** A few seeded days with trouble; `trials platform --seeds A..B` plays more. */
class SeededPlatformDaysTest {
    @Test
    void roughDaysBreakNoRule() throws ServiceException {
        for (long seed = 1; seed <= 3; seed++) {
            SeededPlatformDays day = new SeededPlatformDays(seed);
            assertEquals(List.of(), day.run(Duration.ofSeconds(30)), "seed " + seed + ": " + day.log());
        }
    }
}

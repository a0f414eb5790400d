package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;

/** A stream of configuration changes longer than the retained history, so that old request ids are repeated too. */
class DayTest {
    /**
     * Guards against answering stale_base to the repeat of an accepted request whose id is older than the 256 retained
     * configurations.
     */
    @Test
    void everyChangeIsDecidedWithinSecondsAndRepeatsGetTheFirstAnswer() throws ServiceException {
        Day day = new Day(1).run(Duration.ofMinutes(6), Duration.ofMillis(600), Duration.ofSeconds(40));
        assertEquals(List.of(), day.errors(), day::toString);
        assertTrue(day.changes() > 500 && day.repeats() > 60, day.toString());
        assertTrue(day.percentileMillis(1) < 8000, day.toString());
    }
}

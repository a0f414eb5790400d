package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;

/** The operators' stream of changes; more than the history keeps, so that old request ids are tried too. */
class DayTest {
    /** Before: a request id older than the 256 configurations kept was answered with stale_base after its yes. */
    @Test
    void everyChangeGetsAYesOrNoWithinSecondsAndRepeatsGetTheFirst() throws ServiceException {
        Day day = new Day(1).run(Duration.ofMinutes(6), Duration.ofMillis(600), Duration.ofSeconds(40));
        assertEquals(List.of(), day.wrong(), day::toString);
        assertTrue(day.changes() > 500 && day.repeats() > 60, day.toString());
        assertTrue(day.within(1) < 8000, day.toString());
    }
}

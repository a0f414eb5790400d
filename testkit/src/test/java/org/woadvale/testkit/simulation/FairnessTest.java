package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.Backend;
import org.woadvale.testkit.stub.TestConfiguration;

/** One tenant's excess is its own trouble; fake-clock delays. */
class FairnessTest {
    private static void served(Fairness.Others others, Duration p95) {
        assertEquals(List.of(), others.violations());
        assertEquals(1.0, others.acceptedShare());
        assertTrue(others.p95().compareTo(p95) < 0, "others' p95 delay " + others.p95());
    }

    /** Before, with one line by due time: 7.2 s. */
    @Test
    void slowProcessorsAreSharedFairly() throws ServiceException {
        served(
                Fairness.run(1, 120, new Backend.Manner(Duration.ofSeconds(2), 0, 0, 0), Duration.ZERO),
                Duration.ofMillis(5000));
    }

    /** Before, with retries of a whole lane in one bucket: 31.7 s. */
    @Test
    void jobsThatCannotSucceedDoNotStarveOthers() throws ServiceException {
        served(
                Fairness.run(
                        1,
                        120,
                        new Backend.Manner(Duration.ofMillis(300), 0.1, 0.85, 0, 0, TestConfiguration.tenant(0)),
                        Duration.ZERO),
                Duration.ofMillis(5000));
    }
}

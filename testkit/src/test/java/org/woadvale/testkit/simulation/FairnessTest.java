package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.Backend;
import org.woadvale.testkit.stub.TestConfiguration;

/** The overload of one tenant does not delay the others, measured on the simulated clock. */
class FairnessTest {
    private static void assertServedWithin(Fairness.Others others, Duration p95) {
        assertEquals(List.of(), others.violations());
        assertEquals(1.0, others.acceptedShare());
        assertTrue(others.p95().compareTo(p95) < 0, "p95 delay of the other tenants " + others.p95());
    }

    /** A single queue ordered by due time gave the other tenants a p95 of 7.2 s. */
    @Test
    void slowProcessorsAreSharedFairly() throws ServiceException {
        assertServedWithin(
                Fairness.run(1, 120, new Backend.Behavior(Duration.ofSeconds(2), 0, 0, 0), Duration.ZERO),
                Duration.ofMillis(5000));
    }

    /** One retry bucket for a whole lane gave the other tenants a p95 of 31.7 s. */
    @Test
    void jobsThatCannotSucceedDoNotStarveOthers() throws ServiceException {
        assertServedWithin(
                Fairness.run(
                        1,
                        120,
                        new Backend.Behavior(Duration.ofMillis(300), 0.1, 0.85, 0, 0, TestConfiguration.tenant(0)),
                        Duration.ZERO),
                Duration.ofMillis(5000));
    }
}

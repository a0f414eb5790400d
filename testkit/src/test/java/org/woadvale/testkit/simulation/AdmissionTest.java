package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.TestConfiguration;

/**
 * Traffic within the rate limit is accepted and processed, and no window exceeds the limit, measured on the simulated
 * clock.
 */
class AdmissionTest {
    private static final TestConfiguration EIGHT_TENANTS = new TestConfiguration(8, 4, 45, 60, 26);

    private static void assertNothingViolatedOrFailed(Measure.Figures figures) {
        assertEquals(List.of(), figures.violations());
        assertEquals(0, figures.failed(), "accepted messages that were not processed in time");
    }

    /**
     * Guards against refusals after a cold start: 3.7 % were refused while the first requester drained each bucket and
     * spent tokens were not reported.
     */
    @Test
    void coldStartBelowTheAllowanceIsNotRefused() throws ServiceException {
        Measure.Figures figures = Measure.steady(1, 8, 3, EIGHT_TENANTS, 200, Duration.ofSeconds(9), simulation -> {});
        assertNothingViolatedOrFailed(figures);
        assertEquals(0, figures.throttled());
        assertTrue(
                figures.asks() < 2 * figures.accepted(),
                "batch requests " + figures.asks() + " for " + figures.accepted());
    }

    /** Guards against refusing half of the messages of tenants with a limit of 2/s at half of that limit. */
    @Test
    void lowRateTenantsOverManyIntakesAreServed() throws ServiceException {
        Measure.Figures figures = Measure.steady(
                1, 8, 3, new TestConfiguration(8, 2, 2, 4, 26), 8, Duration.ofSeconds(30), simulation -> {});
        assertNothingViolatedOrFailed(figures);
        assertTrue(figures.throttledShare() < 0.05, "throttled " + figures.throttledShare());
    }

    @Test
    void twiceTheRateLimitIsThrottledToTheLimit() throws ServiceException {
        Measure.Figures figures = Measure.steady(
                1, 8, 3, new TestConfiguration(8, 4, 10, 15, 26), 160, Duration.ofSeconds(12), simulation -> {});
        assertNothingViolatedOrFailed(figures);
        assertTrue(figures.throttledShare() > 0.3, "throttled " + figures.throttledShare());
        assertTrue(figures.worstShare() <= 1.0, "worst window " + figures.worstShare());
    }

    /**
     * Guards against refusals because of stale views: with control partition leases of 2 s, 50 to 101 of 1500
     * submissions were refused because their view was too old.
     */
    @Test
    void killedControlNodeCausesNoRefusals() throws ServiceException {
        for (long seed = 1; seed <= 2; seed++) {
            Measure.Figures figures = Measure.steady(
                    seed,
                    8,
                    3,
                    new TestConfiguration(8, 2, 45, 60, 26),
                    100,
                    Duration.ofSeconds(12),
                    simulation -> simulation.fleet.kill(simulation.fleet.controlNodes.get(0)));
            assertNothingViolatedOrFailed(figures);
            assertEquals(0, figures.throttled() + figures.otherRefusals());
        }
    }

    /**
     * Guards against a draining store and its successor transferring partitions back and forth, 568 times in one run.
     */
    @Test
    void drainedStoreTransfersItsPartitionsOnce() throws ServiceException {
        Measure.Figures figures = Measure.steady(1, 3, 3, EIGHT_TENANTS, 60, Duration.ofSeconds(12), simulation -> {
            String store = simulation.fleet.stores.get(0);
            simulation.fleet.dataPlaneNode(store).drain();
            simulation.fleet.sim.run(Duration.ofSeconds(2));
            assertTrue(simulation.fleet.dataPlaneNode(store).drain(), "all partitions must be transferred after 2 s");
        });
        assertNothingViolatedOrFailed(figures);
        assertEquals(0, figures.throttled() + figures.otherRefusals(), "a drain must cause no refusals");
    }
}

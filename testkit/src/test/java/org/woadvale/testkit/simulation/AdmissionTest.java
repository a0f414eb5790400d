package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.TestConfiguration;

/** Rightful traffic is let in, all of it runs, and no window exceeds the allowance; counted on the fake clock. */
class AdmissionTest {
    private static final TestConfiguration EIGHT = new TestConfiguration(8, 4, 45, 60, 26);

    private static void sound(Measure.Figures figures) {
        assertEquals(List.of(), figures.violations());
        assertEquals(0, figures.failed(), "accepted messages that did not run in time");
    }

    /**
     * Before: 3.7 % refused from a cold start, as the first asker emptied each bucket and spent passes were not told.
     */
    @Test
    void coldStartBelowTheAllowanceIsNotRefused() throws ServiceException {
        Measure.Figures figures = Measure.steady(1, 8, 3, EIGHT, 200, Duration.ofSeconds(9), simulation -> {});
        sound(figures);
        assertEquals(0, figures.throttled());
        assertTrue(
                figures.asks() < 2 * figures.accepted(),
                "batch requests " + figures.asks() + " for " + figures.accepted());
    }

    /** Before: half of the messages of tenants of 2 a second were refused at half of their allowance. */
    @Test
    void tinyTenantsOverManyIntakesAreServed() throws ServiceException {
        Measure.Figures figures = Measure.steady(
                1, 8, 3, new TestConfiguration(8, 2, 2, 4, 26), 8, Duration.ofSeconds(30), simulation -> {});
        sound(figures);
        assertTrue(figures.throttledShare() < 0.05, "throttled " + figures.throttledShare());
    }

    @Test
    void twiceTheAllowanceIsHeldToIt() throws ServiceException {
        Measure.Figures figures = Measure.steady(
                1, 8, 3, new TestConfiguration(8, 4, 10, 15, 26), 160, Duration.ofSeconds(12), simulation -> {});
        sound(figures);
        assertTrue(figures.throttledShare() > 0.3, "throttled " + figures.throttledShare());
        assertTrue(figures.worstShare() <= 1.0, "worst window " + figures.worstShare());
    }

    /**
     * Before: 50 to 101 submissions of 1500 met views that were too old; control parts' leases of 2 s were the cause.
     */
    @Test
    void killedOwnerOfTheLayoutRefusesNobody() throws ServiceException {
        for (long seed = 1; seed <= 2; seed++) {
            Measure.Figures figures = Measure.steady(
                    seed,
                    8,
                    3,
                    new TestConfiguration(8, 2, 45, 60, 26),
                    100,
                    Duration.ofSeconds(12),
                    simulation -> simulation.w.kill(simulation.w.controlNodes.get(0)));
            sound(figures);
            assertEquals(0, figures.throttled() + figures.otherRefusals());
        }
    }

    /** Before: a draining store and the one it handed to gave parts back and forth, 568 times in one run. */
    @Test
    void drainedStoreGivesItsPartsAwayForGood() throws ServiceException {
        Measure.Figures figures = Measure.steady(1, 3, 3, EIGHT, 60, Duration.ofSeconds(12), simulation -> {
            String s = simulation.w.stores.get(0);
            simulation.w.dataPlaneNode(s).drain();
            simulation.w.sim.run(Duration.ofSeconds(2));
            assertTrue(simulation.w.dataPlaneNode(s).drain(), "all parts must be away after 2 s");
        });
        sound(figures);
        assertEquals(0, figures.throttled() + figures.otherRefusals(), "a drain refuses nobody");
    }
}

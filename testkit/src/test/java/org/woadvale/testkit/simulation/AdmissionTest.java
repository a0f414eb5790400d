package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.TestConfiguration;

/** Rightful traffic is let in, all of it runs, and no window exceeds the allowance; counted on the fake clock. */
class AdmissionTest {
    private static final TestConfiguration EIGHT = new TestConfiguration(8, 4, 45, 60, 26);

    private static void sound(Measure.Figures f) {
        assertEquals(List.of(), f.violations());
        assertEquals(0, f.failed(), "accepted messages that did not run in time");
    }

    /** Before: 3.7 % refused from a cold start, as the first asker emptied each bucket and spent passes were not told. */
    @Test
    void coldStartBelowTheAllowanceIsNotRefused() throws ServiceException {
        Measure.Figures f = Measure.steady(1, 8, 3, EIGHT, 200, Duration.ofSeconds(9), v -> {});
        sound(f);
        assertEquals(0, f.throttled());
        assertTrue(f.asks() < 2 * f.accepted(), "batch requests " + f.asks() + " for " + f.accepted());
    }

    /** Before: half of the messages of tenants of 2 a second were refused at half of their allowance. */
    @Test
    void tinyTenantsOverManyIntakesAreServed() throws ServiceException {
        Measure.Figures f =
                Measure.steady(1, 8, 3, new TestConfiguration(8, 2, 2, 4, 26), 8, Duration.ofSeconds(30), v -> {});
        sound(f);
        assertTrue(f.throttledShare() < 0.05, "throttled " + f.throttledShare());
    }

    @Test
    void twiceTheAllowanceIsHeldToIt() throws ServiceException {
        Measure.Figures f =
                Measure.steady(1, 8, 3, new TestConfiguration(8, 4, 10, 15, 26), 160, Duration.ofSeconds(12), v -> {});
        sound(f);
        assertTrue(f.throttledShare() > 0.3, "throttled " + f.throttledShare());
        assertTrue(f.worstShare() <= 1.0, "worst window " + f.worstShare());
    }

    /** Before: 50 to 101 submissions of 1500 met views that were too old; control parts' leases of 2 s were the cause. */
    @Test
    void killedOwnerOfTheLayoutRefusesNobody() throws ServiceException {
        for (long seed = 1; seed <= 2; seed++) {
            Measure.Figures f = Measure.steady(
                    seed,
                    8,
                    3,
                    new TestConfiguration(8, 2, 45, 60, 26),
                    100,
                    Duration.ofSeconds(12),
                    v -> v.w.kill(v.w.lighthouses.get(0)));
            sound(f);
            assertEquals(0, f.throttled() + f.otherRefusals());
        }
    }

    /** Before: a draining store and the one it handed to gave parts back and forth, 568 times in one run. */
    @Test
    void drainedStoreGivesItsPartsAwayForGood() throws ServiceException {
        Measure.Figures f = Measure.steady(1, 3, 3, EIGHT, 60, Duration.ofSeconds(12), v -> {
            String s = v.w.stores.get(0);
            v.w.pilot(s).drain();
            v.w.sim.run(Duration.ofSeconds(2));
            assertTrue(v.w.pilot(s).drain(), "all parts must be away after 2 s");
        });
        sound(f);
        assertEquals(0, f.throttled() + f.otherRefusals(), "a drain refuses nobody");
    }
}

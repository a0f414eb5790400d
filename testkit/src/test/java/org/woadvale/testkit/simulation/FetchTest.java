package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.TestConfiguration;

/** Processors that fetch: lost answers, crashes. */
class FetchTest {
    private static FleetSimulation fetching(long seed) throws ServiceException {
        FleetSimulation v =
                new FleetSimulation(seed, 2, 3, 0, new TestConfiguration(2, 1, 20, 30, 26), World.LARGE_RING).embark();
        v.list("f0", false);
        v.list("f1", false);
        v.w.sim.run(Duration.ofSeconds(1));
        return v;
    }

    /** Before fetches had ids: a message whose fetch was answered into the void stayed unclear and failed. */
    @Test
    void fetchWhoseAnswerWasLostIsRepeatedForTheSameAttempts() throws ServiceException {
        for (long seed = 1; seed <= 2; seed++) {
            FleetSimulation v = fetching(seed);
            List.of("f0", "f1").forEach(f -> v.fetcher(f).behave(Duration.ofMillis(20), 0.4));
            v.traffic(10);
            v.w.sim.run(Duration.ofSeconds(8));
            assertTrue(v.settle(Duration.ofSeconds(120)), "open: " + v.firstOpen());
            assertEquals(List.of(), v.violations());
            assertFalse(v.w.seen.shown.stream().anyMatch(x -> x.state().equals("failed")));
            assertTrue(v.w.seen.ran.size() > 30);
        }
    }

    @Test
    void whatACrashedFetcherHadEndsAsUnclear() throws ServiceException {
        FleetSimulation v = fetching(3);
        v.fetcher("f0").behave(Duration.ofSeconds(2), 0);
        v.traffic(10);
        v.w.sim.run(Duration.ofSeconds(4));
        v.fetcher("f0").crash();
        v.unlist("f0");
        assertTrue(v.settle(Duration.ofSeconds(200)), "open: " + v.firstOpen());
        assertEquals(List.of(), v.violations());
        assertTrue(v.w.seen.shown.stream().anyMatch(x -> x.proof().equals("unclear: the processor is gone")));
    }
}

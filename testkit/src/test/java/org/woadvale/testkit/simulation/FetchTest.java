package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.TestConfiguration;

/** Processors that fetch their work: lost responses and crashes. */
class FetchTest {
    private static FleetSimulation startWithFetchers(long seed) throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(
                        seed, 2, 3, 0, new TestConfiguration(2, 1, 20, 30, 26), SimulatedFleet.LARGE_RING)
                .startAll();
        simulation.putProcessor("f0", false);
        simulation.putProcessor("f1", false);
        simulation.fleet.sim.run(Duration.ofSeconds(1));
        return simulation;
    }

    /**
     * Guards against a message that fails as unclear because the response to its fetch was lost; fetch ids prevent it.
     */
    @Test
    void fetchWhoseAnswerWasLostIsRepeatedForTheSameAttempts() throws ServiceException {
        for (long seed = 1; seed <= 2; seed++) {
            FleetSimulation simulation = startWithFetchers(seed);
            List.of("f0", "f1").forEach(fetcher -> simulation.fetcher(fetcher).behave(Duration.ofMillis(20), 0.4));
            simulation.traffic(10);
            simulation.fleet.sim.run(Duration.ofSeconds(8));
            assertTrue(simulation.settle(Duration.ofSeconds(120)), "open: " + simulation.firstOpen());
            assertEquals(List.of(), simulation.violations());
            assertFalse(simulation.fleet.observations.shown.stream()
                    .anyMatch(shown -> shown.state().equals("failed")));
            assertTrue(simulation.fleet.observations.ran.size() > 30);
        }
    }

    @Test
    void attemptsOfACrashedFetcherEndAsUnclear() throws ServiceException {
        FleetSimulation simulation = startWithFetchers(3);
        simulation.fetcher("f0").behave(Duration.ofSeconds(2), 0);
        simulation.traffic(10);
        simulation.fleet.sim.run(Duration.ofSeconds(4));
        simulation.fetcher("f0").crash();
        simulation.removeProcessor("f0");
        assertTrue(simulation.settle(Duration.ofSeconds(200)), "open: " + simulation.firstOpen());
        assertEquals(List.of(), simulation.violations());
        assertTrue(simulation.fleet.observations.shown.stream()
                .anyMatch(shown -> shown.proof().equals("unclear: the processor is gone")));
    }
}

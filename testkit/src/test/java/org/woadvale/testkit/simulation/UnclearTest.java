package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.Backend;
import org.woadvale.testkit.stub.NeverList;
import org.woadvale.testkit.stub.TestConfiguration;

/** Work that may have run is not run again, however its answer was lost. */
class UnclearTest {
    private static final Backend.Behavior LOSES_ANSWERS = new Backend.Behavior(Duration.ofMillis(5), 0, 0, 1);

    private static FleetSimulation fleet(long seed) throws ServiceException {
        return new FleetSimulation(seed, 2, 3, 2, new TestConfiguration(2, 1, 20, 30, 26), SimulatedFleet.LARGE_RING)
                .startAll();
    }

    private static FleetSimulation settled(FleetSimulation simulation) {
        assertTrue(simulation.settle(Duration.ofSeconds(180)), "open: " + simulation.firstOpen());
        return simulation;
    }

    /** Processors run the work and lose the answers; then each is replaced: same ID, new address, no stored state. */
    private static FleetSimulation replaceProcessorsInTurn(long seed) throws ServiceException {
        FleetSimulation simulation = fleet(seed);
        simulation.traffic(10);
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        for (String processor : List.of("p0", "p1")) {
            simulation.fleet.backends.get(processor).setBehavior(LOSES_ANSWERS);
            simulation.fleet.sim.run(Duration.ofSeconds(1));
            simulation.fleet.replaceBackend(processor);
            simulation.putProcessor(processor, false);
            simulation.fleet.sim.run(Duration.ofSeconds(5));
        }
        return settled(simulation);
    }

    @Test
    void workOfAReplacedProcessorIsNotRunByItsSuccessor() throws ServiceException {
        for (long seed = 1; seed <= 3; seed++) {
            FleetSimulation simulation = replaceProcessorsInTurn(seed);
            assertEquals(List.of(), simulation.violations());
            assertTrue(simulation.fleet.observations.shown.stream()
                    .anyMatch(shown -> shown.proof().equals("unclear: the processor is gone")));
        }
    }

    /** The lane's policy states that running its work twice is harmless. */
    @Test
    void laneWithRerunPolicyRunsTheWorkElsewhere() throws ServiceException {
        FleetSimulation simulation = fleet(1);
        Map<String, Configuration.Lane> lanes = new TreeMap<>(simulation.configuration.lanes());
        Configuration.Lane hold = lanes.get("hold");
        lanes.put(
                "hold",
                new Configuration.Lane(
                        hold.service(),
                        hold.ordering(),
                        hold.timeLimitMs(),
                        hold.attempts(),
                        hold.attemptMs(),
                        Configuration.UnknownOutcomePolicy.RERUN));
        simulation.put(
                new Configuration(
                        simulation.configuration.tenants(),
                        simulation.configuration.services(),
                        lanes,
                        simulation.configuration.keys()),
                simulation.version,
                "rerun",
                response -> {});
        simulation.fleet.sim.run(Duration.ofSeconds(2));
        simulation.fleet.backends.get("p0").setBehavior(LOSES_ANSWERS);
        simulation.submitUnordered(0);
        simulation.fleet.sim.run(Duration.ofSeconds(1));
        simulation.fleet.replaceBackend("p0");
        simulation.putProcessor("p0", false);
        settled(simulation);
        assertEquals(2, simulation.fleet.observations.ran.size());
        assertEquals(
                List.of("02"),
                new NeverList(simulation.fleet.observations).broken(),
                "it must run twice, as the lane allows");
        assertTrue(simulation.fleet.observations.shown.stream()
                .anyMatch(shown -> shown.state().equals("done")));
    }
}

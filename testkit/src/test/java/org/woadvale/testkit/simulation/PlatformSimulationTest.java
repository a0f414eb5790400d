package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;

/** The whole stand-in of the platform around a fleet, without trouble. */
class PlatformSimulationTest {
    @Test
    void calmDayBreaksNoRuleAndServesAll() throws ServiceException {
        PlatformSimulation simulation = new PlatformSimulation(1, 3, 3, FleetOverrides.none()).startAll();
        simulation.clients.start(30);
        simulation.network.sim.run(Duration.ofSeconds(6));
        simulation.operator.change();
        simulation.operator.bad();
        simulation.network.sim.run(Duration.ofSeconds(6));
        simulation.operator.race();
        simulation.operator.keys();
        simulation.leave(simulation.processors.values().iterator().next());
        simulation.network.sim.run(Duration.ofSeconds(8));
        assertEquals(List.of(), simulation.end(Duration.ofSeconds(10)));
        long accepted = simulation.answers().get(202);
        assertTrue(accepted > 400, simulation.answers().toString());
        long done = simulation.seen.shown.stream()
                .filter(shown -> shown.state().equals("completed"))
                .count();
        assertTrue(done > accepted * 0.9, done + " of " + accepted);
    }
}

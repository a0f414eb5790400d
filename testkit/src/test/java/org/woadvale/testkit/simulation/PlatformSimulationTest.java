package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;

/** The complete platform stub around a fleet, without injected faults. */
class PlatformSimulationTest {
    @Test
    void runWithoutFaultsBreaksNoRuleAndServesAll() throws ServiceException {
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
        long completed = simulation.observations.shown.stream()
                .filter(shown -> shown.state().equals("completed"))
                .count();
        assertTrue(completed > accepted * 0.9, completed + " of " + accepted);
    }
}

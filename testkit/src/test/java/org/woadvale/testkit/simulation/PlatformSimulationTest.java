package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.runtime.ServiceException;

/** The whole stand-in of the platform around a fleet, without trouble. */
class PlatformSimulationTest {
    @Test
    void calmDayBreaksNoRuleAndServesAll() throws ServiceException {
        PlatformSimulation p = new PlatformSimulation(1, 3, 3, Seams.none()).embark();
        p.clients.start(30);
        p.network.sim.run(Duration.ofSeconds(6));
        p.operator.change();
        p.operator.bad();
        p.network.sim.run(Duration.ofSeconds(6));
        p.operator.race();
        p.operator.keys();
        p.leave(p.processors.values().iterator().next());
        p.network.sim.run(Duration.ofSeconds(8));
        assertEquals(List.of(), p.end(Duration.ofSeconds(10)));
        long accepted = p.answers().get(202);
        assertTrue(accepted > 400, p.answers().toString());
        long done =
                p.seen.shown.stream().filter(s -> s.state().equals("completed")).count();
        assertTrue(done > accepted * 0.9, done + " of " + accepted);
    }
}

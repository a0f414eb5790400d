package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ServiceNames;

/** A stream that stalls delivers its frames late, all at once, long after those who sent them have given up. */
class LateFramesTest {
    /** The stream stalls 1 to 6 ms after the first request. Before: marks were undone, and work went on. */
    @Test
    void lateChangeOfAListDoesNotUndoALeavingMark() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(1, 2, 3, 14).startAll();
        simulation.traffic(20);
        simulation.w.sim.run(Duration.ofSeconds(2));
        String part = ServiceNames.controlPartition("service/" + FleetSimulation.service(0));
        String owner = simulation.w.controlNodes.stream()
                .filter(l -> simulation.w.controlNode(l).replica(part).isActiveLeader())
                .findFirst()
                .orElseThrow();
        // not the leader of c0: a machine that does not hear that one has no contact, and turns requests away (6.12)
        String asked = simulation.w.controlNodes.stream()
                .filter(l -> !l.equals(owner)
                        && !simulation.w.controlNode(l).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
        for (int k = 1; k <= 6; k++) {
            String p = "p" + (2 * k);
            simulation.w.request(asked, simulation.listing(p, true), Duration.ofSeconds(4), response -> {});
            simulation.w.sim.run(Duration.ofSeconds(1));
            simulation.w.request(asked, simulation.listing(p, false), Duration.ofSeconds(4), response -> {});
            simulation.w.sim.run(Duration.ofMillis(k));
            simulation.w.net.stall(asked, owner);
            simulation.w.sim.run(Duration.ofSeconds(4));
            simulation.listAt(owner, p, true);
            simulation.w.sim.run(Duration.ofSeconds(1));
            assertEquals(k, simulation.w.seen.leaving.size());
            simulation.w.net.heal();
        }
        simulation.w.sim.run(Duration.ofSeconds(6));
        assertTrue(simulation.settle(Duration.ofSeconds(120)), "open: " + simulation.firstOpen());
        assertEquals(List.of(), simulation.violations());
    }
}

package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ServiceNames;

/**
 * A stalled connection delivers its frames late and all at once, long after the requests have timed out at the sender.
 */
class LateFramesTest {
    /**
     * Clears the leaving mark of a processor over a connection that stalls 1 to 6 ms later, then sets it again
     * elsewhere. Guards against the late frame undoing the newer mark, so that the processor keeps getting work.
     */
    @Test
    void lateChangeOfAListDoesNotUndoALeavingMark() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(1, 2, 3, 14).startAll();
        simulation.traffic(20);
        simulation.fleet.sim.run(Duration.ofSeconds(2));
        String partition = ServiceNames.controlPartition("service/" + FleetSimulation.service(0));
        String owner = simulation.fleet.controlNodes.stream()
                .filter(node ->
                        simulation.fleet.controlNode(node).replica(partition).isActiveLeader())
                .findFirst()
                .orElseThrow();
        // not the leader of c0: a machine that does not hear from that leader has no contact and rejects requests
        // (docs/design.md, section 6.12)
        String contacted = simulation.fleet.controlNodes.stream()
                .filter(node -> !node.equals(owner)
                        && !simulation.fleet.controlNode(node).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
        for (int round = 1; round <= 6; round++) {
            String processor = "p" + (2 * round);
            simulation.fleet.request(
                    contacted, simulation.listing(processor, true), Duration.ofSeconds(4), response -> {});
            simulation.fleet.sim.run(Duration.ofSeconds(1));
            simulation.fleet.request(
                    contacted, simulation.listing(processor, false), Duration.ofSeconds(4), response -> {});
            simulation.fleet.sim.run(Duration.ofMillis(round));
            simulation.fleet.net.stall(contacted, owner);
            simulation.fleet.sim.run(Duration.ofSeconds(4));
            simulation.putProcessorAt(owner, processor, true);
            simulation.fleet.sim.run(Duration.ofSeconds(1));
            assertEquals(round, simulation.fleet.observations.leaving.size());
            simulation.fleet.net.heal();
        }
        simulation.fleet.sim.run(Duration.ofSeconds(6));
        assertTrue(simulation.settle(Duration.ofSeconds(120)), "open: " + simulation.firstOpen());
        assertEquals(List.of(), simulation.violations());
    }
}

package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.runtime.ServiceException;

/** A stream that stalls delivers its frames late, all at once, long after those who sent them have given up. */
class LateFramesTest {
    /** The stream stalls 1 to 6 ms after the first request. Before: marks were undone, and work went on. */
    @Test
    void lateChangeOfAListDoesNotUndoALeavingMark() throws ServiceException {
        FleetSimulation v = new FleetSimulation(1, 2, 3, 14).embark();
        v.traffic(20);
        v.w.sim.run(Duration.ofSeconds(2));
        String part = org.woadvale.common.membership.ServiceNames.controlPart("service/" + FleetSimulation.service(0));
        String owner = v.w.lighthouses.stream()
                .filter(l -> v.w.controlNode(l).replica(part).isActiveLeader())
                .findFirst()
                .orElseThrow();
        // not the leader of c0: a machine that does not hear that one has no contact, and turns requests away (6.12)
        String asked = v.w.lighthouses.stream()
                .filter(l ->
                        !l.equals(owner) && !v.w.controlNode(l).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
        for (int k = 1; k <= 6; k++) {
            String p = "p" + (2 * k);
            v.w.request(asked, v.listing(p, true), Duration.ofSeconds(4), a -> {});
            v.w.sim.run(Duration.ofSeconds(1));
            v.w.request(asked, v.listing(p, false), Duration.ofSeconds(4), a -> {});
            v.w.sim.run(Duration.ofMillis(k));
            v.w.net.stall(asked, owner);
            v.w.sim.run(Duration.ofSeconds(4));
            v.listAt(owner, p, true);
            v.w.sim.run(Duration.ofSeconds(1));
            assertEquals(k, v.w.seen.leaving.size());
            v.w.net.heal();
        }
        v.w.sim.run(Duration.ofSeconds(6));
        assertTrue(v.settle(Duration.ofSeconds(120)), "open: " + v.firstOpen());
        assertEquals(List.of(), v.violations());
    }
}

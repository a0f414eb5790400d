package org.woadvale.trials.squall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.woadvale.foundation.lantern.Fault;

class VoyageTest {
    @Test
    void ordinaryLoad() throws Fault {
        Voyage v = new Voyage(1, 3, 3, 4).embark();
        v.traffic(30);
        v.w.sim.run(Duration.ofSeconds(20));
        assertTrue(v.settle(Duration.ofSeconds(60)), "open: " + v.firstOpen());
        assertEquals(List.of(), v.violations());
        assertTrue(v.kinds().getOrDefault("accepted", 0L) > 300, v.kinds().toString());
    }
}

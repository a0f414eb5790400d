package org.woadvale.trials.squall;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.woadvale.foundation.lantern.Fault;

/** A few seeded days with trouble; `trials platform --seeds A..B` plays more. */
class GaleTest {
    @Test
    void roughDaysBreakNoRule() throws Fault {
        for (long seed = 1; seed <= 3; seed++) {
            Gale g = new Gale(seed);
            assertEquals(List.of(), g.run(Duration.ofSeconds(30)), "seed " + seed + ": " + g.log());
        }
    }
}

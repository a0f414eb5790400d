package org.woadvale.trials.squall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;
import org.woadvale.foundation.chart.Layout;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.trials.buoy.Backend;
import org.woadvale.trials.buoy.NeverList;
import org.woadvale.trials.buoy.Scenery;

/** Work that may have been done is not done again, however its answer was lost. */
class UnclearTest {
    private static final Backend.Manner LOSES = new Backend.Manner(Duration.ofMillis(5), 0, 0, 1);

    private static Voyage voyage(long seed) throws Fault {
        return new Voyage(seed, 2, 3, 2, new Scenery(2, 1, 20, 30, 26), World.LARGE_RING).embark();
    }

    private static Voyage ended(Voyage v) {
        assertTrue(v.settle(Duration.ofSeconds(180)), "open: " + v.firstOpen());
        return v;
    }

    /** Processors do the work and lose the answers; then each is replaced: same id, new address, no memory. */
    private static Voyage replacedOneByOne(long seed) throws Fault {
        Voyage v = voyage(seed);
        v.traffic(10);
        v.w.sim.run(Duration.ofSeconds(3));
        for (String p : List.of("p0", "p1")) {
            v.w.backends.get(p).behave(LOSES);
            v.w.sim.run(Duration.ofSeconds(1));
            v.w.replaceBackend(p);
            v.list(p, false);
            v.w.sim.run(Duration.ofSeconds(5));
        }
        return ended(v);
    }

    @Test
    void whatAPredecessorMayHaveDoneIsNotRunBySuccessors() throws Fault {
        for (long seed = 1; seed <= 3; seed++) {
            Voyage v = replacedOneByOne(seed);
            assertEquals(List.of(), v.violations());
            assertTrue(v.w.seen.shown.stream().anyMatch(x -> x.proof().equals("unclear: the processor is gone")));
        }
    }

    /** The lane's operator knows that the work is harmless twice. */
    @Test
    void laneThatSaysRerunRunsItElsewhere() throws Fault {
        Voyage v = voyage(1);
        Map<String, Layout.Lane> lanes = new TreeMap<>(v.layout.lanes());
        Layout.Lane hold = lanes.get("hold");
        lanes.put("hold", new Layout.Lane(hold.service(), hold.ordering(), hold.timeLimitMs(), hold.attempts(),
            hold.attemptMs(), Layout.IfUnclear.RERUN));
        v.put(new Layout(v.layout.tenants(), v.layout.services(), lanes, v.layout.keys()), v.version, "rerun", a -> { });
        v.w.sim.run(Duration.ofSeconds(2));
        v.w.backends.get("p0").behave(LOSES);
        v.plain(0);
        v.w.sim.run(Duration.ofSeconds(1));
        v.w.replaceBackend("p0");
        v.list("p0", false);
        ended(v);
        assertEquals(2, v.w.seen.ran.size());
        assertEquals(List.of("02"), new NeverList(v.w.seen).broken(), "it ran twice, as the operator allowed");
        assertTrue(v.w.seen.shown.stream().anyMatch(x -> x.state().equals("done")));
    }
}

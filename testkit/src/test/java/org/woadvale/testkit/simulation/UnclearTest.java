package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.Backend;
import org.woadvale.testkit.stub.NeverList;
import org.woadvale.testkit.stub.TestConfiguration;

/** Work that may have been done is not done again, however its answer was lost. */
class UnclearTest {
    private static final Backend.Manner LOSES = new Backend.Manner(Duration.ofMillis(5), 0, 0, 1);

    private static FleetSimulation fleet(long seed) throws ServiceException {
        return new FleetSimulation(seed, 2, 3, 2, new TestConfiguration(2, 1, 20, 30, 26), World.LARGE_RING).embark();
    }

    private static FleetSimulation ended(FleetSimulation v) {
        assertTrue(v.settle(Duration.ofSeconds(180)), "open: " + v.firstOpen());
        return v;
    }

    /** Processors do the work and lose the answers; then each is replaced: same id, new address, no memory. */
    private static FleetSimulation replacedOneByOne(long seed) throws ServiceException {
        FleetSimulation v = fleet(seed);
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
    void whatAPredecessorMayHaveDoneIsNotRunBySuccessors() throws ServiceException {
        for (long seed = 1; seed <= 3; seed++) {
            FleetSimulation v = replacedOneByOne(seed);
            assertEquals(List.of(), v.violations());
            assertTrue(v.w.seen.shown.stream().anyMatch(x -> x.proof().equals("unclear: the processor is gone")));
        }
    }

    /** The lane's operator knows that the work is harmless twice. */
    @Test
    void laneThatSaysRerunRunsItElsewhere() throws ServiceException {
        FleetSimulation v = fleet(1);
        Map<String, Configuration.Lane> lanes = new TreeMap<>(v.configuration.lanes());
        Configuration.Lane hold = lanes.get("hold");
        lanes.put(
                "hold",
                new Configuration.Lane(
                        hold.service(),
                        hold.ordering(),
                        hold.timeLimitMs(),
                        hold.attempts(),
                        hold.attemptMs(),
                        Configuration.IfUnclear.RERUN));
        v.put(
                new Configuration(v.configuration.tenants(), v.configuration.services(), lanes, v.configuration.keys()),
                v.version,
                "rerun",
                a -> {});
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

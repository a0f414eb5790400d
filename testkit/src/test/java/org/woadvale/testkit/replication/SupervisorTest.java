package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.Supervisor;
import org.woadvale.testkit.simulation.Harness;
import org.woadvale.testkit.simulation.Sim;
import org.woadvale.testkit.simulation.SimNet;

class SupervisorTest {
    private final List<String> log = new ArrayList<>();
    private final Sim sim = new Sim(1);
    private final Harness h = new Harness("a:1", sim, new SimNet(sim));

    private final class Scripted implements Component {
        private final String name;
        boolean alive = true;
        boolean mortal;

        Scripted(String name) {
            this.name = name;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public void start() {
            alive = !mortal;
            log.add("+" + name);
        }

        @Override
        public void stop() {
            log.add("-" + name);
        }

        @Override
        public boolean alive() {
            return alive;
        }
    }

    @Test
    void startsInOrderStartsTheDeadAgainStopsInReverse() throws ServiceException {
        h.boot(new RpcRouter());
        Scripted a = new Scripted("a");
        Scripted b = new Scripted("b");
        Supervisor s =
                new Supervisor("s", h.host(), () -> log.add("given up")).with(a).with(b);
        s.start();
        b.alive = false;
        sim.run(Duration.ofSeconds(4));
        s.stop();
        assertEquals(List.of("+a", "+b", "-b", "+b", "-b", "-a"), log);
    }

    @Test
    void givesUpOnWhatDiesAgainAndAgain() throws ServiceException {
        h.boot(new RpcRouter());
        Scripted a = new Scripted("a");
        Supervisor s = new Supervisor("s", h.host(), () -> log.add("given up")).with(a);
        s.start();
        a.mortal = true;
        a.alive = false;
        sim.run(Duration.ofMinutes(2));
        assertTrue(log.contains("given up"), log.toString());
        assertFalse(s.alive());
        assertEquals(1, log.stream().filter("given up"::equals).count());
        assertEquals(6, log.stream().filter("+a"::equals).count(), "the first start and five more, each tried in full");
    }
}

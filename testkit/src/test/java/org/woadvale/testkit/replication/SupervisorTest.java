package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.Supervisor;
import org.woadvale.testkit.simulation.Harness;
import org.woadvale.testkit.simulation.SimNet;
import org.woadvale.testkit.simulation.Simulator;

class SupervisorTest {
    private final List<String> log = new ArrayList<>();
    private final Simulator sim = new Simulator(1);
    private final Harness harness = new Harness("a:1", sim, new SimNet(sim));

    private final class ScriptedComponent implements Component {
        private final String name;
        boolean alive = true;
        boolean diesOnStart;

        ScriptedComponent(String name) {
            this.name = name;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public void start() {
            alive = !diesOnStart;
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
    void startsInOrderRestartsDeadComponentsAndStopsInReverse() throws ServiceException {
        harness.boot(new RpcRouter());
        ScriptedComponent first = new ScriptedComponent("a");
        ScriptedComponent second = new ScriptedComponent("b");
        Supervisor supervisor = new Supervisor("s", harness.host(), () -> log.add("given up"))
                .with(first)
                .with(second);
        supervisor.start();
        second.alive = false;
        sim.run(Duration.ofSeconds(4));
        supervisor.stop();
        assertEquals(List.of("+a", "+b", "-b", "+b", "-b", "-a"), log);
    }

    @Test
    void givesUpOnAComponentThatKeepsFailing() throws ServiceException {
        harness.boot(new RpcRouter());
        ScriptedComponent scripted = new ScriptedComponent("a");
        Supervisor supervisor = new Supervisor("s", harness.host(), () -> log.add("given up")).with(scripted);
        supervisor.start();
        scripted.diesOnStart = true;
        scripted.alive = false;
        sim.run(Duration.ofMinutes(2));
        assertTrue(log.contains("given up"), log.toString());
        assertFalse(supervisor.alive());
        assertEquals(1, log.stream().filter("given up"::equals).count());
        assertEquals(6, log.stream().filter("+a"::equals).count(), "the first start and five complete restarts");
    }
}

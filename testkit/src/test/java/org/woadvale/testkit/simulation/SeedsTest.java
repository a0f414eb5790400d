package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.cli.CoreMembersFile;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.rpc.RpcClient;

/** The seeds are needed at the first start only. */
class SeedsTest {
    /**
     * One seed after the other is lost for good and replaced; nobody who runs is told where the new ones are. 2, 3, 4:
     * the new control node was asked for the exchange and gave a false conflict. 2, 3 again: a control node that had
     * joined knew the others by luck only, and found no owner for seconds; and the operator of the test spent its time
     * on control nodes that were lost for good, so it asks those that are there now, for 5 s instead of 8.
     */
    @ParameterizedTest
    @ValueSource(longs = {5, 2, 3, 4})
    void allThreeSeedsMayBeGone(long seed) throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(seed, 3, 3, 4).startAll();
        simulation.traffic(20);
        for (int i = 0; i < 3; i++) {
            simulation.w.lose(simulation.w.controlNodes.get(i));
            String fresh = simulation.w.newControlNodeFirstSettings();
            List<String> wanted = simulation.w.presentControlNodes();
            AtomicInteger status = new AtomicInteger();
            simulation.operate(
                    new Request("PUT", "/v1/core", Map.of(), Configurations.write(Map.of("lighthouses", wanted))),
                    response -> status.set(response.status()));
            assertTrue(
                    simulation.w.sim.runUntil(
                            () -> status.get() == 200
                                    && CoreExchange.votesEverywhere(simulation.w, fresh)
                                    && simulation
                                            .w
                                            .controlNode(fresh)
                                            .controlNodes()
                                            .equals(wanted.stream().sorted().toList()),
                            Duration.ofSeconds(60)),
                    "not seated: " + simulation.w.controlNode(fresh).controlNodes());
            simulation.w.sim.run(Duration.ofSeconds(10));
        }
        new ConfigurationOperator(simulation).changeAt(simulation.w.presentControlNodes());
        simulation.w.sim.run(Duration.ofSeconds(5));
        assertEquals(2, simulation.version, "the layout was changed by the new core");
        simulation.w.seenVersions();
        assertEquals(
                6,
                simulation.w.seen.versions.stream()
                        .filter(nodeVersion -> nodeVersion.version() == 2)
                        .count(),
                "on every data node");
        assertTrue(simulation.settle(Duration.ofSeconds(120)), "open: " + simulation.firstOpen());
        assertEquals(List.of(), simulation.violations());
    }

    @Test
    void whatWasLearnedIsKeptInTheDataFolder(@TempDir Path folder) {
        CoreMembers learned = new CoreMembers(17, List.of("10.0.0.1:1", "10.0.0.2:1"));
        new CoreMembersFile(folder.toString()).write(learned);
        assertEquals(learned, new CoreMembersFile(folder.toString()).read());
    }

    /** Before: any other list was taken, so one process that held an old list spread it. */
    @Test
    void anOlderListIsNeverTaken() {
        CoreMembers newer = new CoreMembers(9, List.of("10.0.0.2:1", "10.0.0.4:1"));
        List<CoreMembers> written = new ArrayList<>();
        Simulator sim = new Simulator(1);
        RpcClient rpc = new SimNet(sim)
                .rpc(new Host("10.0.0.9:1", sim), RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, List.of()));
        CoreClient core = new CoreClient(rpc, () -> 0, List.of("10.0.0.1:1"), newer, written::add);
        core.adopt(new CoreMembers(8, List.of("10.0.0.1:1")));
        core.adopt(new CoreMembers(0, List.of("10.0.0.1:1")));
        core.adopt(new CoreMembers(12, List.of()));
        assertEquals(newer, core.members());
        assertEquals(List.of(), written);
        CoreMembers newest = new CoreMembers(10, List.of("10.0.0.4:1"));
        core.adopt(newest);
        assertEquals(newest, core.members());
        assertEquals(List.of(newest), written);
    }
}

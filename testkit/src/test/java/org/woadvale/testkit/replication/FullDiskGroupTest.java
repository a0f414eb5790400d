package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;

/** Three replicas, and disks among them that take no more bytes. */
class FullDiskGroupTest {
    private static final Duration SETTLED = Duration.ofSeconds(3);

    private static void setFull(ReplicaGroupFixture replicas, String node, boolean full) {
        replicas.hosts.get(node).disk().setFull(full);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void oneFullDiskHoldsNothingUpAndCatchesUp(long seed) throws ServiceException {
        ReplicaGroupFixture replicas = new ReplicaGroupFixture(seed);
        String leader = replicas.awaitLeader();
        List<String> names = List.copyOf(replicas.hosts.keySet());
        String full = seed % 2 == 0 ? leader : names.get((names.indexOf(leader) + 1) % names.size());
        setFull(replicas, full, true);
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            accepted.add(replicas.propose("word" + i));
            replicas.sim.run(Duration.ofMillis(200));
        }
        assertEquals("word19", accepted.get(19));
        setFull(replicas, full, false);
        replicas.sim.run(SETTLED);
        replicas.hosts.values().forEach(harness -> assertTrue(harness.alive()));
        replicas.hosts.keySet().stream()
                .filter(n -> !n.equals(full))
                .findFirst()
                .ifPresent(n -> replicas.hosts.get(n).kill());
        assertEquals("after", replicas.propose("after"));
        assertTrue(replicas.stateMachines.get(replicas.awaitLeader()).words.containsAll(accepted));
    }

    /** With two full disks nothing can be confirmed; what was under way is decided once there is room. */
    @Test
    void twoFullDisksConfirmNothingUntilThereIsRoom() throws ServiceException {
        ReplicaGroupFixture replicas = new ReplicaGroupFixture(5);
        String leader = replicas.awaitLeader();
        replicas.hosts.keySet().stream().filter(n -> !n.equals(leader)).forEach(n -> setFull(replicas, n, true));
        List<String> answers = new ArrayList<>();
        replicas.replicas
                .get(leader)
                .propose("held", String.class)
                .subscribe(answers::add, e -> answers.add("unknown"));
        replicas.sim.run(Duration.ofSeconds(5));
        assertEquals(List.of(), answers);
        replicas.hosts.keySet().forEach(n -> setFull(replicas, n, false));
        replicas.sim.run(SETTLED);
        assertEquals(List.of("held"), answers);
        replicas.hosts.values().forEach(harness -> assertTrue(harness.alive()));
    }
}

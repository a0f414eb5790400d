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

/** A group of three replicas, some of which have a full disk. */
class FullDiskGroupTest {
    private static final Duration SETTLE_TIME = Duration.ofSeconds(3);

    private static void setFull(ReplicaGroupFixture group, String node, boolean full) {
        group.hosts.get(node).disk().setFull(full);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void oneFullDiskDelaysNothingAndCatchesUp(long seed) throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(seed);
        String leader = group.awaitLeader();
        List<String> names = List.copyOf(group.hosts.keySet());
        String full = seed % 2 == 0 ? leader : names.get((names.indexOf(leader) + 1) % names.size());
        setFull(group, full, true);
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            accepted.add(group.propose("word" + i));
            group.sim.run(Duration.ofMillis(200));
        }
        assertEquals("word19", accepted.get(19));
        setFull(group, full, false);
        group.sim.run(SETTLE_TIME);
        group.hosts.values().forEach(harness -> assertTrue(harness.alive()));
        group.hosts.keySet().stream()
                .filter(node -> !node.equals(full))
                .findFirst()
                .ifPresent(node -> group.hosts.get(node).kill());
        assertEquals("after", group.propose("after"));
        assertTrue(group.stateMachines.get(group.awaitLeader()).words.containsAll(accepted));
    }

    /** With two full disks nothing can be committed; a pending proposal completes once there is space. */
    @Test
    void twoFullDisksCommitNothingUntilThereIsSpace() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(5);
        String leader = group.awaitLeader();
        group.hosts.keySet().stream().filter(node -> !node.equals(leader)).forEach(node -> setFull(group, node, true));
        List<String> results = new ArrayList<>();
        group.replicas.get(leader).propose("held", String.class).subscribe(results::add, e -> results.add("unknown"));
        group.sim.run(Duration.ofSeconds(5));
        assertEquals(List.of(), results);
        group.hosts.keySet().forEach(node -> setFull(group, node, false));
        group.sim.run(SETTLE_TIME);
        assertEquals(List.of("held"), results);
        group.hosts.values().forEach(harness -> assertTrue(harness.alive()));
    }
}

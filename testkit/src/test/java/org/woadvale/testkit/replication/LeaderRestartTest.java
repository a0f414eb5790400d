package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;

/**
 * A restarted leader need not wait for its own lease to expire, and no other node may skip that wait. (docs/design.md,
 * section 5.3)
 */
class LeaderRestartTest {
    private static final Duration ELECTION_WITHOUT_LEASE_WAIT = Duration.ofMillis(600);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void formerLeaderLeadsAtOnceAfterAFullPowerLoss(long seed) throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(seed);
        assertEquals("one", group.propose("one"));
        String formerLeader = group.awaitLeader();
        group.sim.run(Duration.ofSeconds(1));
        for (String node : group.hosts.keySet()) {
            group.hosts.get(node).powerLoss();
        }
        for (String node : group.hosts.keySet()) {
            group.start(node);
        }
        assertTrue(
                group.sim.runUntil(() -> group.leader().isPresent(), ELECTION_WITHOUT_LEASE_WAIT),
                "no leader is elected in time");
        assertEquals(formerLeader, group.leader().orElseThrow());
        assertEquals("two", group.propose("two"));
    }

    @Test
    void leaderOfAnEarlierTermDoesNotDisplaceTheCurrentOne() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(7);
        String formerLeader = group.awaitLeader();
        group.hosts.get(formerLeader).powerLoss();
        String newLeader = group.awaitLeader();
        assertFalse(newLeader.equals(formerLeader));
        group.sim.run(Duration.ofSeconds(1));
        group.start(formerLeader);
        for (int i = 0; i < 40; i++) {
            group.sim.run(Duration.ofMillis(50));
            assertEquals(newLeader, group.leader().orElse("none"), "the current leader's lease is running");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25, 26})
    void neverTwoLeadersUnderRestartsAndPauses(long seed) throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(seed);
        group.awaitLeader();
        group.net.setLossAndDuplication(0.05, 0.05);
        List<String> names = new ArrayList<>(group.hosts.keySet());
        long maxLeaders = 0;
        for (int i = 0; i < 600; i++) {
            String node = names.get(group.sim.random().nextInt(3));
            switch (group.sim.random().nextInt(12)) {
                case 0 -> {
                    group.hosts.get(node).powerLoss();
                    group.start(node);
                }
                case 1 ->
                    group.hosts
                            .get(node)
                            .pause(Duration.ofMillis(200 + group.sim.random().nextInt(4000)));
                case 2 -> {
                    group.net.heal();
                    group.net.cutOff(node);
                }
                case 3 -> group.net.heal();
                default -> {}
            }
            group.sim.run(Duration.ofMillis(100));
            maxLeaders = Math.max(maxLeaders, group.leaderCount());
        }
        group.net.heal();
        group.sim.run(Duration.ofSeconds(8));
        assertEquals(1, maxLeaders);
        assertEquals("last", group.propose("last"));
    }
}

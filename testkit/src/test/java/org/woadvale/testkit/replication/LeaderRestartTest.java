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
 * The former owner need not wait for its own lease, and nobody else may take that way. (docs/design.md, section 5.3)
 */
class LeaderRestartTest {
    private static final Duration SOON = Duration.ofMillis(600);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void afterALossOfAllPowerTheFormerOwnerOwnsAtOnce(long seed) throws ServiceException {
        ReplicaGroupFixture replicas = new ReplicaGroupFixture(seed);
        assertEquals("one", replicas.propose("one"));
        String former = replicas.awaitLeader();
        replicas.sim.run(Duration.ofSeconds(1));
        for (String h : replicas.hosts.keySet()) {
            replicas.hosts.get(h).powerLoss();
        }
        for (String h : replicas.hosts.keySet()) {
            replicas.start(h);
        }
        assertTrue(replicas.sim.runUntil(() -> replicas.leader().isPresent(), SOON), "nobody owns the part in time");
        assertEquals(former, replicas.leader().orElseThrow());
        assertEquals("two", replicas.propose("two"));
    }

    @Test
    void anOwnerOfAnEarlierTermWaitsForThePresentOne() throws ServiceException {
        ReplicaGroupFixture replicas = new ReplicaGroupFixture(7);
        String old = replicas.awaitLeader();
        replicas.hosts.get(old).powerLoss();
        String next = replicas.awaitLeader();
        assertFalse(next.equals(old));
        replicas.sim.run(Duration.ofSeconds(1));
        replicas.start(old);
        for (int i = 0; i < 40; i++) {
            replicas.sim.run(Duration.ofMillis(50));
            assertEquals(next, replicas.leader().orElse("none"), "the present owner's claim runs");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25, 26})
    void neverTwoOwnersUnderRestartsAndPauses(long seed) throws ServiceException {
        ReplicaGroupFixture replicas = new ReplicaGroupFixture(seed);
        replicas.awaitLeader();
        replicas.net.setLossAndDuplication(0.05, 0.05);
        List<String> names = new ArrayList<>(replicas.hosts.keySet());
        long worst = 0;
        for (int i = 0; i < 600; i++) {
            String n = names.get(replicas.sim.random().nextInt(3));
            switch (replicas.sim.random().nextInt(12)) {
                case 0 -> {
                    replicas.hosts.get(n).powerLoss();
                    replicas.start(n);
                }
                case 1 ->
                    replicas.hosts
                            .get(n)
                            .pause(Duration.ofMillis(200 + replicas.sim.random().nextInt(4000)));
                case 2 -> {
                    replicas.net.heal();
                    replicas.net.cutOff(n);
                }
                case 3 -> replicas.net.heal();
                default -> {}
            }
            replicas.sim.run(Duration.ofMillis(100));
            worst = Math.max(worst, replicas.leaderCount());
        }
        replicas.net.heal();
        replicas.sim.run(Duration.ofSeconds(8));
        assertEquals(1, worst);
        assertEquals("last", replicas.propose("last"));
    }
}

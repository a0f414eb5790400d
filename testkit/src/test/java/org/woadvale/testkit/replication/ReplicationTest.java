package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.Role;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.common.wal.WalRecord;

class ReplicationTest {
    @Test
    void committedWordsSurviveTheLossOfTheLeader() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(1);
        assertEquals("one", group.propose("one"));
        String first = group.awaitLeader();
        group.hosts.get(first).powerLoss();
        assertEquals("two", group.propose("two"));
        group.start(first);
        group.sim.run(Duration.ofSeconds(3));
        assertEquals(List.of("one", "two"), group.stateMachines.get(first).words);
    }

    @Test
    void pausedLeaderHasNoLeaseWhenItResumes() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(2);
        String formerLeader = group.awaitLeader();
        group.hosts.get(formerLeader).pause(Duration.ofSeconds(6));
        group.sim.run(Duration.ofSeconds(5));
        String newLeader = group.awaitLeader();
        assertFalse(newLeader.equals(formerLeader), "another replica must lead while the first is paused");
        group.sim.run(Duration.ofSeconds(1));
        assertFalse(
                group.replicas.get(formerLeader).isActiveLeader(),
                "the lease of the paused leader must have expired when it resumes");
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void neverTwoLeadersUnderPartitions(long seed) throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(seed);
        group.awaitLeader();
        group.net.setLossAndDuplication(0.05, 0.05);
        long maxLeaders = 0;
        for (int i = 0; i < 400; i++) {
            if (i % 40 == 0) {
                group.net.heal();
                group.net.cutOff(
                        List.copyOf(group.hosts.keySet()).get(group.sim.random().nextInt(3)));
            }
            group.sim.run(Duration.ofMillis(100));
            maxLeaders = Math.max(maxLeaders, group.leaderCount());
        }
        assertEquals(1, maxLeaders);
    }

    @Test
    void isolatedReplicaDoesNotDisplaceTheLeaderOnReturn() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(3);
        String leader = group.awaitLeader();
        String other = group.hosts.keySet().stream()
                .filter(node -> !node.equals(leader))
                .findFirst()
                .orElseThrow();
        long term = group.replicas.get(leader).term();
        group.net.cutOff(other);
        group.sim.run(Duration.ofSeconds(10));
        group.net.heal();
        group.sim.run(Duration.ofSeconds(3));
        assertEquals(leader, group.awaitLeader());
        assertEquals(term, group.replicas.get(leader).term());
    }

    @Test
    void laggingReplicaInstallsASnapshotThenFollows() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(4);
        String leader = group.awaitLeader();
        String behind = group.hosts.keySet().stream()
                .filter(node -> !node.equals(leader))
                .findFirst()
                .orElseThrow();
        group.hosts.get(behind).kill();
        List<String> proposed = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            proposed.add(group.propose("w" + i + "x".repeat(1500)));
        }
        group.start(behind);
        group.sim.run(Duration.ofSeconds(4));
        assertEquals(proposed, group.stateMachines.get(behind).words);
    }

    /** The disk is empty: the replica must not vote until the other members have promoted it again. */
    @Test
    void lostDiskLosesNothing() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(5);
        loseDiskOfTheOnlyOtherHolder(group, false);
        group.sim.run(Duration.ofSeconds(10));
        assertEquals(0, group.leaderCount(), "b with an empty disk and c, which is behind, must not elect a leader");
        group.start("a:1");
        group.awaitLeader();
        group.sim.run(Duration.ofSeconds(5));
        assertTrue(group.stateMachines.get("b:1").words.contains("precious"));
        assertEquals(Role.FOLLOWER, group.replicas.get("c:1").role());
        assertFalse(group.replicas.get("b:1").role() == Role.UNINITIALIZED, "b must be promoted again");
    }

    /**
     * If the empty disk counts at once, an accepted entry is lost: this is why a promotion is needed. (docs/design.md,
     * section 5.5)
     */
    @Test
    void countingAnEmptyDiskAtOnceLosesAnAcceptedEntry() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(5);
        loseDiskOfTheOnlyOtherHolder(group, true);
        group.awaitLeader();
        group.start("a:1");
        group.sim.run(Duration.ofSeconds(5));
        assertFalse(group.stateMachines.get(group.awaitLeader()).words.contains("precious"));
    }

    /** An entry is accepted by a and b while c is unreachable; then b's disk is lost, a is down, and c is back. */
    private static void loseDiskOfTheOnlyOtherHolder(ReplicaGroupFixture group, boolean naive) throws ServiceException {
        assertEquals("early", group.propose("early"));
        group.sim.run(Duration.ofSeconds(1));
        assertEquals("a:1", group.awaitLeader());
        String identity = group.replicas.get("b:1").members().get("b:1");
        Map<String, String> members = group.replicas.get("b:1").members();
        group.net.cutOff("c:1");
        assertEquals("precious", group.propose("precious"));
        group.hosts.get("a:1").kill();
        group.hosts.get("b:1").kill();
        group.hosts.get("b:1").disk().wipe();
        if (naive) {
            group.hosts.get("b:1").boot(new RpcRouter());
            RingWriteAheadLog wal = RingWriteAheadLog.open(
                    group.hosts.get("b:1").disk(), group.hosts.get("b:1").host(), 4, 512 << 10);
            ReplicationMessages.ReplicaSnapshot snapshot = new ReplicationMessages.ReplicaSnapshot(
                    identity, 0, "", true, 0, 0, members, new byte[0], List.of(), new byte[0]);
            wal.append(
                    List.of(new WalRecord(
                            ReplicaGroupFixture.PARTITION, WalRecord.Kind.SNAPSHOT, 0, 0, group.codec.write(snapshot))),
                    () -> {});
            group.sim.run(Duration.ofMillis(100));
            group.hosts.get("b:1").kill();
        }
        group.net.heal();
        group.start("b:1");
    }

    @Test
    void lostMemberIsReplacedAndAllReplicasCount() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(6);
        group.propose("one");
        group.hosts.get("c:1").kill();
        group.setDesiredMembers(List.of("a:1", "b:1", "d:1"));
        group.add("d:1");
        group.sim.run(Duration.ofSeconds(6));
        assertEquals(
                Set.of("a:1", "b:1", "d:1"),
                group.replicas.get(group.awaitLeader()).members().keySet());
        group.hosts.get(group.awaitLeader()).kill();
        assertEquals("two", group.propose("two"));
        assertTrue(group.stateMachines.get("d:1").words.containsAll(List.of("one", "two")));
    }

    @Test
    void leadershipTransferDoesNotWaitForTheLease() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(7);
        String formerLeader = group.awaitLeader();
        group.propose("one");
        group.sim.run(Duration.ofSeconds(1));
        String successor = group.replicas.get(formerLeader).successor().orElseThrow();
        Duration startedAt = group.sim.now();
        assertTrue(group.replicas.get(formerLeader).transferLeadership(successor));
        assertFalse(group.replicas.get(formerLeader).isActiveLeader(), "the lease is relinquished first");
        group.sim.runUntil(() -> group.leader().filter(successor::equals).isPresent(), Duration.ofSeconds(3));
        assertTrue(
                group.sim.now().minus(startedAt).compareTo(Duration.ofMillis(500)) < 0,
                "took " + group.sim.now().minus(startedAt));
    }

    @Test
    void rejectedProposalIsNeverApplied() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(8);
        String leader = group.awaitLeader();
        String other = group.hosts.keySet().stream()
                .filter(node -> !node.equals(leader))
                .findFirst()
                .orElseThrow();
        assertEquals("not_owner", group.proposeAt(other, "never"));
        group.net.cutOff(leader);
        group.sim.run(Duration.ofSeconds(4));
        assertEquals("not_owner", group.proposeAt(leader, "never"));
        group.net.heal();
        group.sim.run(Duration.ofSeconds(5));
        assertFalse(
                group.stateMachines.values().stream().anyMatch(stateMachine -> stateMachine.words.contains("never")));
    }

    @Test
    void undecidedProposalHasAnUnknownOutcome() throws ServiceException {
        ReplicaGroupFixture group = new ReplicaGroupFixture(9);
        String leader = group.awaitLeader();
        group.net.cutOff(leader);
        assertEquals("unknown_outcome", group.proposeAt(leader, "perhaps"));
    }
}

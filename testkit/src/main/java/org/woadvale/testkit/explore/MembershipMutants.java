package org.woadvale.testkit.explore;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.replication.BootstrapMessages;
import org.woadvale.common.replication.LogEntry;
import org.woadvale.common.replication.ReplicaProbe;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.Role;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.wal.WalRecord;
import org.woadvale.common.wal.WriteAheadLog;
import reactor.core.publisher.Mono;

/** Mutants of the engine that each omit one rule of replica identity or membership change. */
final class MembershipMutants {
    private MembershipMutants() {}

    /** A node that lost its disk keeps its old identity and votes with an empty log, without being promoted again. */
    static Mutant voterAfterDiskLoss() {
        return new Mutant() {
            @Override
            public WriteAheadLog log(ModelNode node, WriteAheadLog log) {
                Map<String, String> group = node.cluster().committedMembers();
                if (!log.recovered().isEmpty() || !group.containsKey(node.name())) {
                    return log;
                }
                return recoveringFrom(log, emptyVoter(group.get(node.name()), group), node);
            }
        };
    }

    private static ReplicationMessages.ReplicaSnapshot emptyVoter(String identity, Map<String, String> group) {
        return new ReplicationMessages.ReplicaSnapshot(
                identity, 0, "", true, 0, 0, group, new byte[0], List.of(), new byte[0]);
    }

    private static WriteAheadLog recoveringFrom(
            WriteAheadLog log, ReplicationMessages.ReplicaSnapshot base, ModelNode node) {
        WalRecord entry = new WalRecord(
                ModelNode.PARTITION,
                WalRecord.Kind.SNAPSHOT,
                0,
                0,
                node.cluster().codec().write(base));
        log.append(List.of(entry), () -> {});
        return new ForwardingLog(log) {
            @Override
            public Map<String, List<WalRecord>> recovered() {
                return Map.of(ModelNode.PARTITION, List.of(entry));
            }
        };
    }

    /** The leader appends a membership entry while another is uncommitted. */
    static Mutant overlappingMembershipChange() {
        return new Mutant() {
            @Override
            public void afterStep(ModelCluster cluster) {
                cluster.activeLeader()
                        .filter(leader -> cluster.membershipChanges() > 0)
                        .filter(leader -> hasUncommittedMembership(cluster, leader))
                        .ifPresent(leader -> ReplicaProbe.forceMembers(
                                leader.replica(), leader.state().members()));
            }
        };
    }

    private static boolean hasUncommittedMembership(ModelCluster cluster, ModelNode leader) {
        ReplicaProbe.Snapshot state = leader.state();
        return state.lastIndex() > state.commitIndex()
                && state.entry(state.lastIndex()).kind() == LogEntry.Kind.MEMBERSHIP;
    }

    /** When the desired members change, the leader replaces all other members at once by all non-members. */
    static Mutant wholeGroupReplaced() {
        return new Mutant() {
            private int handledChanges;

            @Override
            public void afterStep(ModelCluster cluster) {
                boolean changed = cluster.membershipChanges() > handledChanges;
                cluster.activeLeader().filter(leader -> changed).ifPresent(leader -> {
                    handledChanges = cluster.membershipChanges();
                    ReplicaProbe.forceMembers(leader.replica(), leaderWithNonMembers(cluster, leader));
                });
            }
        };
    }

    private static Map<String, String> leaderWithNonMembers(ModelCluster cluster, ModelNode leader) {
        Map<String, String> members = new TreeMap<>();
        cluster.nodes().stream()
                .filter(node -> node == leader || !cluster.committedMembers().containsKey(node.name()))
                .forEach(node -> members.put(node.name(), node.state().identity()));
        return members;
    }

    /** The proposer of a bootstrap assumes the promise and the acceptance of every second node without asking it. */
    static Mutant bootstrapWithoutMajority() {
        return new Mutant() {
            @Override
            public RpcClient rpc(ModelNode node, RpcClient rpc) {
                return new PartialBootstrapRpc(node, rpc);
            }
        };
    }

    /** Forges the bootstrap responses of every second node (b, d, ...), with the real identity of that node. */
    private record PartialBootstrapRpc(ModelNode node, RpcClient rpc) implements RpcClient {
        @Override
        public String self() {
            return rpc.self();
        }

        @Override
        public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
            boolean forwarded = (to.charAt(0) - 'a') % 2 == 0;
            if (!forwarded && body instanceof BootstrapMessages.PrepareRequest prepare) {
                String identity = node.cluster().node(to).state().identity();
                return Mono.just(answer.cast(new BootstrapMessages.PrepareResponse(
                        true, false, prepare.ballot(), identity, prepare.ballot(), Map.of(), false)));
            }
            if (!forwarded && body instanceof BootstrapMessages.AcceptRequest accept) {
                return Mono.just(answer.cast(new BootstrapMessages.AcceptResponse(true, accept.ballot())));
            }
            return rpc.call(to, body, answer, limit);
        }
    }

    /** An uninitialized replica, which is not a voter, takes part in elections. */
    static Mutant nonVoterCandidate() {
        return new Mutant() {
            @Override
            public void afterStep(ModelCluster cluster) {
                cluster.nodes().stream()
                        .filter(node -> node.state().role() == Role.UNINITIALIZED)
                        .filter(node -> !node.state().members().isEmpty())
                        .forEach(node -> ReplicaProbe.followWithoutVote(node.replica()));
            }
        };
    }
}

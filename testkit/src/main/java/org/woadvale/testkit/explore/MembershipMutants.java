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

/** Engines without one of the rules of identity and membership change. */
final class MembershipMutants {
    private MembershipMutants() {}

    /** A node that lost its disk goes on under its old identity, as a voter with an empty log. */
    static Mutant countedWithoutPromotion() {
        return new Mutant() {
            @Override
            public WriteAheadLog log(ModelNode node, WriteAheadLog log) {
                Map<String, String> group = node.cluster().committedGroup();
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

    /** The leader appends a membership entry while another is under way. */
    static Mutant secondChangeUnderWay() {
        return new Mutant() {
            @Override
            public void afterStep(ModelCluster cluster) {
                cluster.actingLeader()
                        .filter(leader -> cluster.membershipChanges() > 0)
                        .filter(leader -> changeUnderWay(cluster, leader))
                        .ifPresent(leader -> ReplicaProbe.forceMembers(
                                leader.replica(), leader.state().members()));
            }
        };
    }

    private static boolean changeUnderWay(ModelCluster cluster, ModelNode leader) {
        ReplicaProbe.Snapshot state = leader.state();
        return state.lastIndex() > state.commitIndex()
                && state.entry(state.lastIndex()).kind() == LogEntry.Kind.MEMBERSHIP;
    }

    /** When the wanted members change, the leader goes on with all that were not in the group. */
    static Mutant wholeGroupExchanged() {
        return new Mutant() {
            private int exchanges;

            @Override
            public void afterStep(ModelCluster cluster) {
                boolean changed = cluster.membershipChanges() > exchanges;
                cluster.actingLeader().filter(leader -> changed).ifPresent(leader -> {
                    exchanges = cluster.membershipChanges();
                    ReplicaProbe.forceMembers(leader.replica(), leaderWithNewcomers(cluster, leader));
                });
            }
        };
    }

    private static Map<String, String> leaderWithNewcomers(ModelCluster cluster, ModelNode leader) {
        Map<String, String> next = new TreeMap<>();
        cluster.nodes().stream()
                .filter(node -> node == leader || !cluster.committedGroup().containsKey(node.name()))
                .forEach(node -> next.put(node.name(), node.state().identity()));
        return next;
    }

    /** Whoever founds the group takes the promise and the acceptance of every second node for given. */
    static Mutant foundedByHalf() {
        return new Mutant() {
            @Override
            public RpcClient rpc(ModelNode node, RpcClient rpc) {
                return new HalfAskingRpc(node, rpc);
            }
        };
    }

    /** Answers for the nodes of odd places itself when a group is founded, under an identity that is theirs. */
    private record HalfAskingRpc(ModelNode node, RpcClient rpc) implements RpcClient {
        @Override
        public String self() {
            return rpc.self();
        }

        @Override
        public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
            boolean asked = (to.charAt(0) - 'a') % 2 == 0;
            if (!asked && body instanceof BootstrapMessages.PrepareRequest prepare) {
                String identity = node.cluster().node(to).state().identity();
                return Mono.just(answer.cast(new BootstrapMessages.PrepareResponse(
                        true, false, prepare.ballot(), identity, prepare.ballot(), Map.of(), false)));
            }
            if (!asked && body instanceof BootstrapMessages.AcceptRequest accept) {
                return Mono.just(answer.cast(new BootstrapMessages.AcceptResponse(true, accept.ballot())));
            }
            return rpc.call(to, body, answer, limit);
        }
    }

    /** A replica whose log is not trusted takes part in elections. */
    static Mutant unswornCandidate() {
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

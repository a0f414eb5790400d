package org.woadvale.testkit.explore;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.wal.WalRecord;
import org.woadvale.common.wal.WriteAheadLog;
import reactor.core.publisher.Mono;

/** Mutants of the engine that each omit one rule. Each must violate an invariant, which shows that the check works. */
final class Mutants {
    private static final Map<String, Supplier<Mutant>> ALL = Map.ofEntries(
            Map.entry("unsynced-log", Mutants::unsyncedLog),
            Map.entry("forgotten-votes", Mutants::votesNotPersisted),
            Map.entry("long-lease", Mutants::longLease),
            Map.entry("stopping-clock", Mutants::clockStopsWhileFrozen),
            Map.entry("vote-for-shorter-log", Mutants::voteForOutdatedLog),
            Map.entry("counted-without-promotion", MembershipMutants::voterAfterDiskLoss),
            Map.entry("second-change-under-way", MembershipMutants::overlappingMembershipChange),
            Map.entry("whole-group-exchanged", MembershipMutants::wholeGroupReplaced),
            Map.entry("founded-by-half", MembershipMutants::bootstrapWithoutMajority),
            Map.entry("unsworn-candidate", MembershipMutants::nonVoterCandidate),
            Map.entry("snapshot-not-applied", StateMutants::snapshotNotApplied),
            Map.entry("lost-commands", StateMutants::lostCommands),
            Map.entry("wrong-answers", StateMutants::wrongAnswers));

    private Mutants() {}

    /** Creates the mutant with the given name. */
    static Mutant named(String name) {
        if (!ALL.containsKey(name)) {
            throw new IllegalArgumentException(
                    "unknown mutant " + name + "; known mutants: " + new TreeSet<>(ALL.keySet()));
        }
        return ALL.get(name).get();
    }

    /** The log confirms a write before it is synced. */
    static Mutant unsyncedLog() {
        return new Mutant() {
            @Override
            public WriteAheadLog log(ModelNode node, WriteAheadLog log) {
                return new ForwardingLog(log) {
                    @Override
                    public void append(List<WalRecord> entries, Runnable done) {
                        super.append(entries, () -> {});
                        node.timers().execute(done);
                    }
                };
            }
        };
    }

    /** Votes are not written to the log. */
    static Mutant votesNotPersisted() {
        return new Mutant() {
            @Override
            public WriteAheadLog log(ModelNode node, WriteAheadLog log) {
                return new ForwardingLog(log) {
                    @Override
                    public void append(List<WalRecord> entries, Runnable done) {
                        super.append(
                                entries.stream()
                                        .filter(entry -> entry.kind() != WalRecord.Kind.VOTE)
                                        .toList(),
                                done);
                    }
                };
            }
        };
    }

    /** The lease of node "a" is longer than the time that the other nodes wait before an election. */
    static Mutant longLease() {
        return new Mutant() {
            @Override
            public ReplicationTiming timing(ModelNode node, ReplicationTiming timing) {
                return node.name().equals("a")
                        ? new ReplicationTiming(
                                timing.lease().multipliedBy(3),
                                timing.heartbeat(),
                                timing.tick(),
                                timing.requestTimeout(),
                                timing.electionJitter())
                        : timing;
            }
        };
    }

    /** A node's clock, by which its lease is measured, stops while the node is frozen. */
    static Mutant clockStopsWhileFrozen() {
        return new Mutant() {
            @Override
            public Duration clock(ModelNode node, Duration localTime) {
                return localTime.minus(node.totalFrozenTime());
            }
        };
    }

    /** Vote requests claim the highest index and term, so that a candidate with an outdated log gets votes. */
    static Mutant voteForOutdatedLog() {
        return new Mutant() {
            @Override
            public RpcClient rpc(ModelNode node, RpcClient rpc) {
                return new RequestRewritingRpc(
                        rpc,
                        body -> body instanceof ReplicationMessages.VoteRequest request
                                ? new ReplicationMessages.VoteRequest(
                                        request.partition(),
                                        request.term(),
                                        Integer.MAX_VALUE,
                                        Integer.MAX_VALUE,
                                        request.preVote(),
                                        request.leadershipTransferred())
                                : body);
            }
        };
    }

    /** Rewrites each request before it is sent. */
    private static final class RequestRewritingRpc implements RpcClient {
        private final RpcClient rpc;
        private final UnaryOperator<Object> rewrite;

        RequestRewritingRpc(RpcClient rpc, UnaryOperator<Object> rewrite) {
            this.rpc = rpc;
            this.rewrite = rewrite;
        }

        @Override
        public String self() {
            return rpc.self();
        }

        @Override
        public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
            return rpc.call(to, rewrite.apply(body), answer, limit);
        }
    }
}

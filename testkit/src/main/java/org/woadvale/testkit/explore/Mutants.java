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

/** Engines with one rule left out; each breaks an invariant, or the invariant could not be trusted. */
final class Mutants {
    private static final Map<String, Supplier<Mutant>> ALL = Map.ofEntries(
            Map.entry("unsynced-log", Mutants::unsyncedLog),
            Map.entry("forgotten-votes", Mutants::forgottenVotes),
            Map.entry("long-lease", Mutants::longLease),
            Map.entry("stopping-clock", Mutants::stoppingClock),
            Map.entry("vote-for-shorter-log", Mutants::voteForShorterLog),
            Map.entry("counted-without-promotion", MembershipMutants::countedWithoutPromotion),
            Map.entry("second-change-under-way", MembershipMutants::secondChangeUnderWay),
            Map.entry("whole-group-exchanged", MembershipMutants::wholeGroupExchanged),
            Map.entry("founded-by-half", MembershipMutants::foundedByHalf),
            Map.entry("unsworn-candidate", MembershipMutants::unswornCandidate),
            Map.entry("snapshot-not-applied", StateMutants::snapshotNotApplied),
            Map.entry("lost-commands", StateMutants::lostCommands),
            Map.entry("wrong-answers", StateMutants::wrongAnswers));

    private Mutants() {}

    /** A new engine without the rule of that name. */
    static Mutant named(String name) {
        if (!ALL.containsKey(name)) {
            throw new IllegalArgumentException("no mutant " + name + "; there are " + new TreeSet<>(ALL.keySet()));
        }
        return ALL.get(name).get();
    }

    /** The log says "synced" at once. */
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

    /** Votes are not written. */
    static Mutant forgottenVotes() {
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

    /** One node's lease is longer than the others wait. */
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

    /** The clock that the lease is measured by stands still while a node is frozen. */
    static Mutant stoppingClock() {
        return new Mutant() {
            @Override
            public Duration clock(ModelNode node, Duration localTime) {
                return localTime.minus(node.frozenInAll());
            }
        };
    }

    /** A candidate's log is taken for complete whatever it holds. */
    static Mutant voteForShorterLog() {
        return new Mutant() {
            @Override
            public RpcClient rpc(ModelNode node, RpcClient rpc) {
                return new ChangingRpc(
                        rpc,
                        body -> body instanceof ReplicationMessages.VoteRequest ask
                                ? new ReplicationMessages.VoteRequest(
                                        ask.partition(),
                                        ask.term(),
                                        Integer.MAX_VALUE,
                                        Integer.MAX_VALUE,
                                        ask.preVote(),
                                        ask.leadershipTransferred())
                                : body);
            }
        };
    }

    /** Sends each request in another form. */
    private static final class ChangingRpc implements RpcClient {
        private final RpcClient rpc;
        private final UnaryOperator<Object> change;

        ChangingRpc(RpcClient rpc, UnaryOperator<Object> change) {
            this.rpc = rpc;
            this.change = change;
        }

        @Override
        public String self() {
            return rpc.self();
        }

        @Override
        public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
            return rpc.call(to, change.apply(body), answer, limit);
        }
    }
}

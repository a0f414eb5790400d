package org.woadvale.common.replication;

import java.util.Optional;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Which leader this replica follows, and when that is on disk. */
final class LeaderTracker {
    private final ReplicaState state;
    private final VoteStore votes;
    /** Completes when the leader that was accepted last is on disk; there only until the first answer to it. */
    private Optional<Sinks.One<Boolean>> voteBeingStored = Optional.empty();

    LeaderTracker(ReplicaState state, VoteStore votes) {
        this.state = state;
        this.votes = votes;
    }

    /** Follows the sender, which leads the term; false if the term is over. */
    boolean accept(String leader, long term) {
        if (term < state.term()) {
            return false;
        }
        votes.adoptTerm(term, "a new leader");
        // what the leader sent before it gave up its lease may arrive late, and does not end the candidacy it asked for
        if (state.role() == Role.CANDIDATE && !state.isCandidateByTransfer()) {
            state.transitionTo(Role.FOLLOWER, "another was elected");
        }
        if (!state.votedFor().equals(leader)) {
            state.voteFor(state.term(), leader);
            Sinks.One<Boolean> stored = Sinks.one();
            voteBeingStored = Optional.of(stored);
            votes.store(() -> state.shard().afterUnlock(() -> stored.tryEmitValue(Boolean.TRUE)));
        }
        state.follow(leader);
        return true;
    }

    /**
     * Delays an answer until it is on disk whose lease it confirms: after a restart this replica must know that nobody
     * else's lease may run.
     */
    <T> Mono<T> afterVoteStored(Mono<T> response) {
        Optional<Sinks.One<Boolean>> stored = voteBeingStored;
        voteBeingStored = Optional.empty();
        return stored.map(sink -> sink.asMono().then(response)).orElse(response);
    }
}

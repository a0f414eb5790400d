package org.woadvale.common.replication;

import java.util.Optional;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Tracks which leader this replica follows and whether that is on disk. */
final class LeaderTracker {
    private final ReplicaState state;
    private final VoteStore votes;
    /** Completes when the leader accepted last is on disk; present only until the first response to it. */
    private Optional<Sinks.One<Boolean>> voteBeingStored = Optional.empty();

    LeaderTracker(ReplicaState state, VoteStore votes) {
        this.state = state;
        this.votes = votes;
    }

    /** Follows the leader of the given term; returns false if the term is outdated. */
    boolean accept(String leader, long term) {
        if (term < state.term()) {
            return false;
        }
        votes.adoptTerm(term, "a new leader");
        // a request that the leader sent before it relinquished its lease may arrive late; it must not end the
        // candidacy that the leader asked for
        if (state.role() == Role.CANDIDATE && !state.isCandidateByTransfer()) {
            state.transitionTo(Role.FOLLOWER, "another replica was elected");
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
     * Delays a response until the leader whose lease it confirms is on disk: after a restart this replica must know
     * that no other node's lease can be running.
     */
    <T> Mono<T> afterVoteStored(Mono<T> response) {
        Optional<Sinks.One<Boolean>> stored = voteBeingStored;
        voteBeingStored = Optional.empty();
        return stored.map(sink -> sink.asMono().then(response)).orElse(response);
    }
}

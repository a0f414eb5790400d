package org.woadvale.common.replication;

import java.util.List;
import org.woadvale.common.wal.WalRecord;

/** Keeps a replica's term and vote on disk, so that no restart forgets them. */
final class VoteStore {
    private final ReplicaState state;

    VoteStore(ReplicaState state) {
        this.state = state;
    }

    /** A later term was seen: leadership and candidacy of the former one are over. Does nothing for other terms. */
    void adoptTerm(long seenTerm, String reason) {
        if (seenTerm <= state.term()) {
            return;
        }
        state.enterTerm(seenTerm);
        store(() -> {});
        if (state.role() == Role.LEADER || state.role() == Role.CANDIDATE) {
            state.transitionTo(Role.FOLLOWER, reason);
        }
    }

    /** Writes the present vote; the task runs once it is synced, unless the replica has stopped. */
    void store(Runnable onSynced) {
        NodeEnvironment environment = state.environment();
        WalRecord vote = new WalRecord(
                state.partition(),
                WalRecord.Kind.VOTE,
                0,
                state.term(),
                environment.codec().write(state.votedFor()));
        environment
                .wal()
                .append(
                        List.of(vote),
                        () -> state.shard().run(() -> {
                            if (!state.isStopped()) {
                                onSynced.run();
                            }
                        }));
    }
}

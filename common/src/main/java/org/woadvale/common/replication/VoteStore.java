package org.woadvale.common.replication;

import java.util.List;
import org.woadvale.common.wal.WalRecord;

/** Stores a replica's term and vote on disk, so that they survive a restart. */
final class VoteStore {
    private final ReplicaState state;

    VoteStore(ReplicaState state) {
        this.state = state;
    }

    /** Enters a later term, which ends any leadership or candidacy in the current one; does nothing for other terms. */
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

    /** Writes the current term and vote; the task runs once they are synced, unless the replica has stopped. */
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

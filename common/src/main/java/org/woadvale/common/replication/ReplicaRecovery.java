package org.woadvale.common.replication;

import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.wal.WalRecord;

/** Restores a replica from its disk, once, before it participates in the group. */
final class ReplicaRecovery {
    private static final Logger LOG = LogManager.getLogger(ReplicaRecovery.class);

    private final ReplicaState state;
    private final CommitTracker<?, ?> commits;
    private final StateMachine<?, ?> stateMachine;
    private final ReplicaStorage storage;

    ReplicaRecovery(
            ReplicaState state, CommitTracker<?, ?> commits, StateMachine<?, ?> stateMachine, ReplicaStorage storage) {
        this.state = state;
        this.commits = commits;
        this.stateMachine = stateMachine;
        this.storage = storage;
    }

    /**
     * Replays the records in the order in which they were written.
     *
     * @throws ServiceException if a record is unreadable
     */
    void recover(List<WalRecord> records) throws ServiceException {
        if (records.isEmpty()) {
            String identity = ReplicaIdentity.create(state.environment().random(), state.self());
            state.setIdentity(identity, state.isVoter());
            state.setBootstrap(BootstrapState.EMPTY.withDesiredMembers(state.desiredMembers()));
            storage.storeSnapshot();
            return;
        }
        for (WalRecord record : records) {
            replay(LegacyFormat.upgrade(record, state.environment().codec()));
        }
        storage.onRecovered();
        if (!ReplicaIdentity.belongsTo(state.identity(), state.self())) {
            LOG.error("The disk of {} was written by {}: the replica counts as lost.", state.self(), state.identity());
            storage.replaceIdentity(() -> {});
        } else if (state.isVoter()) {
            state.transitionTo(Role.FOLLOWER, "recovered");
        }
    }

    private void replay(WalRecord record) throws ServiceException {
        Codec codec = state.environment().codec();
        switch (record.kind()) {
            case SNAPSHOT -> restore(codec.read(record.bytes(), ReplicationMessages.ReplicaSnapshot.class));
            case VOTE -> state.restoreVote(record.term(), codec.read(record.bytes(), String.class));
            default -> replayEntry(record, codec.read(record.bytes(), LogEntry.class));
        }
    }

    private void restore(ReplicationMessages.ReplicaSnapshot snapshot) throws ServiceException {
        if (snapshot.bootstrap().length > 0) {
            state.setBootstrap(state.environment().codec().read(snapshot.bootstrap(), BootstrapState.class));
        }
        state.setIdentity(snapshot.identity(), snapshot.voter());
        state.restoreVote(snapshot.term(), snapshot.votedFor());
        state.log().reset(snapshot.index(), snapshot.indexTerm(), List.of());
        state.membership().reset(snapshot.members());
        if (snapshot.state().length > 0) {
            stateMachine.restore(snapshot.state());
        }
        commits.resetTo(snapshot.index());
        snapshot.entries().forEach(state::appendInMemory);
    }

    private void replayEntry(WalRecord record, LogEntry entry) {
        state.truncateInMemory(record.index());
        if (record.term() > state.term()) {
            // written by a build that did not store its leaders: the holder of a lease in this term, if any, is not
            // known
            state.restoreVote(record.term(), "");
        }
        state.appendInMemory(entry);
    }
}

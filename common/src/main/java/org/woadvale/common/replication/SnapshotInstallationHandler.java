package org.woadvale.common.replication;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.ReplicationMessages.AppendEntriesResponse;
import org.woadvale.common.replication.ReplicationMessages.InstallSnapshotRequest;
import org.woadvale.common.replication.ReplicationMessages.ReplicaSnapshot;
import org.woadvale.common.replication.SnapshotMessages.ChunkStatus;
import org.woadvale.common.replication.SnapshotMessages.SnapshotChunkRequest;
import org.woadvale.common.replication.SnapshotMessages.SnapshotChunkResponse;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Installs a leader's snapshot, received in chunks or, from a build that does not support chunks, in a single request.
 */
final class SnapshotInstallationHandler {
    private static final Logger LOG = LogManager.getLogger(SnapshotInstallationHandler.class);

    private final ReplicaState state;
    private final CommitTracker<?, ?> commits;
    private final ReplicaStorage storage;
    private final LeaderTracker leaderTracker;
    private final VoterPromotion promotion;
    private final SnapshotReceiver receiver;

    SnapshotInstallationHandler(
            ReplicaState state,
            CommitTracker<?, ?> commits,
            ReplicaStorage storage,
            LeaderTracker leaderTracker,
            VoterPromotion promotion) {
        this.state = state;
        this.commits = commits;
        this.storage = storage;
        this.leaderTracker = leaderTracker;
        this.promotion = promotion;
        this.receiver = new SnapshotReceiver(state.environment().wal().largestRecordBytes());
    }

    Mono<SnapshotChunkResponse> onChunk(String from, SnapshotChunkRequest chunk) {
        return leaderTracker.afterVoteStored(receive(from, chunk));
    }

    Mono<AppendEntriesResponse> onInstallSnapshot(String from, InstallSnapshotRequest request) {
        return leaderTracker.afterVoteStored(installFromSingleRequest(from, request));
    }

    private Mono<SnapshotChunkResponse> receive(String from, SnapshotChunkRequest chunk) {
        if (!leaderTracker.accept(from, chunk.term())) {
            return Mono.just(response(ChunkStatus.OUTDATED_TERM, 0, 0));
        }
        if (chunk.snapshot().index() <= commits.appliedIndex()) {
            return Mono.just(response(ChunkStatus.INSTALLED, 0, syncedAndApplied()));
        }
        SnapshotReceiver.ReceivedChunk received = receiver.receive(chunk);
        if (received.snapshot().isEmpty()) {
            return Mono.just(response(received.status(), received.nextOffset(), 0));
        }
        try {
            byte[] bytes = received.snapshot().orElseThrow().bytes();
            return install(from, chunk, state.environment().codec().read(bytes, ReplicaSnapshot.class));
        } catch (ServiceException e) {
            LOG.error("Partition {} at {} cannot read a snapshot from {}.", state.partition(), state.self(), from);
            return Mono.just(response(ChunkStatus.CORRUPT, 0, 0));
        }
    }

    private Mono<SnapshotChunkResponse> install(String from, SnapshotChunkRequest lastChunk, ReplicaSnapshot snapshot) {
        long index = lastChunk.snapshot().index();
        if (snapshot.index() != index
                || snapshot.indexTerm() != lastChunk.snapshot().indexTerm()) {
            return Mono.just(response(ChunkStatus.CORRUPT, 0, 0));
        }
        logInstallation(from, index);
        Sinks.One<SnapshotChunkResponse> sink = Sinks.one();
        storage.installSnapshot(snapshot, () -> {
            SnapshotChunkResponse response = response(ChunkStatus.INSTALLED, 0, Math.min(index, storage.syncedIndex()));
            state.shard().afterUnlock(() -> sink.tryEmitValue(response));
        });
        promotion.promoteIfMember();
        return sink.asMono();
    }

    private Mono<AppendEntriesResponse> installFromSingleRequest(String from, InstallSnapshotRequest request) {
        if (!leaderTracker.accept(from, request.term())) {
            return Mono.just(appendResponse(false, 0));
        }
        long index = request.snapshot().index();
        if (index <= commits.appliedIndex()) {
            return Mono.just(appendResponse(true, syncedAndApplied()));
        }
        logInstallation(from, index);
        long term = state.term();
        Sinks.One<AppendEntriesResponse> sink = Sinks.one();
        storage.installSnapshot(request.snapshot(), () -> {
            boolean current = state.term() == term;
            AppendEntriesResponse response = appendResponse(current, current ? index : 0);
            state.shard().afterUnlock(() -> sink.tryEmitValue(response));
        });
        promotion.promoteIfMember();
        return sink.asMono();
    }

    private void logInstallation(String from, long index) {
        LOG.info(
                "Partition {} at {} installs a snapshot up to index {} from {}.",
                state.partition(),
                state.self(),
                index,
                from);
    }

    private long syncedAndApplied() {
        return Math.min(commits.appliedIndex(), storage.syncedIndex());
    }

    private SnapshotChunkResponse response(ChunkStatus status, long nextOffset, long matchIndex) {
        return new SnapshotChunkResponse(
                state.term(), status, nextOffset, matchIndex, state.identity(), state.isElectable());
    }

    private AppendEntriesResponse appendResponse(boolean success, long matchIndex) {
        return new AppendEntriesResponse(state.term(), success, matchIndex, state.identity(), state.isElectable());
    }
}

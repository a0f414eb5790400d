package org.woadvale.common.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.woadvale.common.replication.SnapshotMessages.ChunkStatus;
import org.woadvale.common.replication.SnapshotMessages.SnapshotChunkRequest;
import org.woadvale.common.replication.SnapshotMessages.SnapshotChunkResponse;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Sampling changes and views from the owner: design 5.4. */
final class Follower {
    private final Replica replica;
    private Optional<Sinks.One<Object>> voteBeingStored = Optional.empty();
    private final SnapshotReceiver snapshotReceiver;

    Follower(Replica replica) {
        this.replica = replica;
        this.snapshotReceiver = new SnapshotReceiver(replica.environment.wal().largestRecordBytes());
    }

    private ReplicationMessages.AppendEntriesResponse reply(boolean ok, long match) {
        return new ReplicationMessages.AppendEntriesResponse(
                replica.term, ok, match, replica.identity, replica.electable);
    }

    private boolean acceptLeader(String from, long term) {
        if (term < replica.term) {
            return false;
        }
        if (term > replica.term) {
            replica.adoptTerm(term, "a new leader");
        }
        if (replica.role == Role.CANDIDATE) {
            replica.transitionTo(Role.FOLLOWER, "another was elected");
        }
        if (!replica.votedFor.equals(from)) {
            replica.votedFor = from;
            voteBeingStored = Optional.of(Sinks.one());
            Sinks.One<Object> noted = voteBeingStored.get();
            replica.storage.storeVote(() -> replica.shard.afterUnlock(() -> noted.tryEmitValue(Boolean.TRUE)));
        }
        replica.leaderId = from;
        replica.leaderLeaseUntil =
                replica.now().plus(replica.environment.timing().lease());
        return true;
    }

    /** A lease is confirmed only once it is on disk whose it is: after a restart nobody else's may run. design 5.3 */
    private Mono<Object> afterVoteStored(Mono<Object> reply) {
        Optional<Sinks.One<Object>> n = voteBeingStored;
        voteBeingStored = Optional.empty();
        return n.map(s -> s.asMono().then(reply)).orElse(reply);
    }

    Mono<Object> onAppendEntries(String from, ReplicationMessages.AppendEntriesRequest request) {
        return afterVoteStored(take(from, request));
    }

    Mono<Object> onInstallSnapshot(String from, ReplicationMessages.InstallSnapshotRequest request) {
        return afterVoteStored(take(from, request));
    }

    Mono<Object> onSnapshotMessage(String from, Object body) {
        if (body instanceof SnapshotChunkRequest piece) {
            return afterVoteStored(take(from, piece));
        }
        if (body instanceof SnapshotMessages.RevokeIdentityRequest message) {
            return onRevokeIdentity(from, message);
        }
        return Mono.error(new ServiceException(ErrorKind.BAD_REQUEST, "A replica does not answer this."));
    }

    private SnapshotChunkResponse reply(ChunkStatus status, long nextOffset, long match) {
        return new SnapshotChunkResponse(replica.term, status, nextOffset, match, replica.identity, replica.electable);
    }

    private Mono<Object> take(String from, SnapshotChunkRequest piece) {
        if (!acceptLeader(from, piece.term())) {
            return Mono.just(reply(ChunkStatus.OUTDATED_TERM, 0, 0));
        }
        if (piece.snapshot().index() <= replica.commits.appliedIndex()) {
            return Mono.just(reply(
                    ChunkStatus.INSTALLED, 0, Math.min(replica.commits.appliedIndex(), replica.storage.syncedIndex())));
        }
        SnapshotReceiver.ReceivedChunk progress = snapshotReceiver.receive(piece);
        if (progress.snapshot().isEmpty()) {
            return Mono.just(reply(progress.status(), progress.nextOffset(), 0));
        }
        try {
            byte[] whole = progress.snapshot().orElseThrow().bytes();
            return install(
                    from, piece, replica.environment.codec().read(whole, ReplicationMessages.ReplicaSnapshot.class));
        } catch (ServiceException failure) {
            Replica.LOG.error(
                    "Partition {} at {} cannot read a snapshot from {}.",
                    replica.partition,
                    replica.environment.self(),
                    from);
            return Mono.just(reply(ChunkStatus.CORRUPT, 0, 0));
        }
    }

    private Mono<Object> install(String from, SnapshotChunkRequest piece, ReplicationMessages.ReplicaSnapshot base) {
        long index = piece.snapshot().index();
        if (base.index() != index || base.indexTerm() != piece.snapshot().indexTerm()) {
            return Mono.just(reply(ChunkStatus.CORRUPT, 0, 0));
        }
        Replica.LOG.info(
                "Partition {} at {} installs a snapshot up to index {} from {}.",
                replica.partition,
                replica.environment.self(),
                index,
                from);
        Sinks.One<Object> out = Sinks.one();
        replica.storage.installSnapshot(base, () -> {
            SnapshotChunkResponse answer =
                    reply(ChunkStatus.INSTALLED, 0, Math.min(index, replica.storage.syncedIndex()));
            replica.shard.afterUnlock(() -> out.tryEmitValue(answer));
        });
        replica.bootstrap.promoteIfMember();
        return out.asMono();
    }

    /** Only the leader of this term can say so, and only of the identity that it heard. design 5.8 */
    private Mono<Object> onRevokeIdentity(String from, SnapshotMessages.RevokeIdentityRequest message) {
        boolean concerned = message.term() == replica.term
                && from.equals(replica.leaderId)
                && message.identity().equals(replica.identity);
        boolean follows = replica.role == Role.FOLLOWER || replica.role == Role.UNINITIALIZED;
        if (!concerned || !follows) {
            return Mono.just(new ReplicationMessages.Acknowledgement(false));
        }
        Replica.LOG.error(
                "Partition {} at {} lost entries that it had acknowledged: the replica counts as lost.",
                replica.partition,
                replica.environment.self());
        Sinks.One<Object> out = Sinks.one();
        replica.storage.replaceIdentity(
                () -> replica.shard.afterUnlock(() -> out.tryEmitValue(new ReplicationMessages.Acknowledgement(true))));
        replica.transitionTo(Role.UNINITIALIZED, "its identity was revoked");
        return out.asMono();
    }

    private Mono<Object> take(String from, ReplicationMessages.AppendEntriesRequest request) {
        if (!acceptLeader(from, request.term())) {
            return Mono.just(reply(false, 0));
        }
        if (request.prevIndex() > replica.replicatedLog.lastIndex()) {
            return Mono.just(reply(false, replica.replicatedLog.lastIndex()));
        }
        if (replica.replicatedLog.contains(request.prevIndex())
                && replica.replicatedLog.termAt(request.prevIndex()) != request.prevTerm()) {
            return Mono.just(reply(false, Math.max(replica.commits.commitIndex(), request.prevIndex() - 1)));
        }
        long index = request.prevIndex();
        List<LogEntry> fresh = new ArrayList<>();
        for (LogEntry item : request.entries()) {
            index++;
            if (index <= replica.replicatedLog.baseIndex()) {
                continue;
            }
            if (fresh.isEmpty() && index <= replica.replicatedLog.lastIndex()) {
                if (replica.replicatedLog.termAt(index) == item.term()) {
                    continue;
                }
                replica.storage.truncateFrom(index);
            }
            fresh.add(item);
        }
        long match = request.prevIndex() + request.entries().size();
        Sinks.One<Object> out = Sinks.one();
        if (fresh.isEmpty()) {
            replica.commits.advanceTo(
                    Math.min(request.commitIndex(), Math.min(match, replica.replicatedLog.lastIndex())));
            return Mono.just(reply(true, Math.min(match, replica.storage.syncedIndex())));
        }
        long term = replica.term;
        replica.storage.append(fresh, () -> {
            boolean still = replica.term == term;
            ReplicationMessages.AppendEntriesResponse answer =
                    reply(still, still ? Math.min(match, replica.storage.syncedIndex()) : 0);
            replica.shard.afterUnlock(() -> out.tryEmitValue(answer));
        });
        replica.commits.advanceTo(Math.min(request.commitIndex(), Math.min(match, replica.replicatedLog.lastIndex())));
        return out.asMono();
    }

    private Mono<Object> take(String from, ReplicationMessages.InstallSnapshotRequest request) {
        if (!acceptLeader(from, request.term())) {
            return Mono.just(reply(false, 0));
        }
        long index = request.snapshot().index();
        if (index <= replica.commits.appliedIndex()) {
            return Mono.just(reply(true, Math.min(replica.commits.appliedIndex(), replica.storage.syncedIndex())));
        }
        Replica.LOG.info(
                "Partition {} at {} installs a snapshot up to index {} from {}.",
                replica.partition,
                replica.environment.self(),
                index,
                from);
        Sinks.One<Object> out = Sinks.one();
        long term = replica.term;
        replica.storage.installSnapshot(request.snapshot(), () -> {
            ReplicationMessages.AppendEntriesResponse answer =
                    reply(replica.term == term, replica.term == term ? index : 0);
            replica.shard.afterUnlock(() -> out.tryEmitValue(answer));
        });
        replica.bootstrap.promoteIfMember();
        return out.asMono();
    }
}

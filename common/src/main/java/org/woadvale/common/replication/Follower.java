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
    private final Replica r;
    private Optional<Sinks.One<Object>> voteBeingStored = Optional.empty();
    private final SnapshotReceiver snapshotReceiver;

    Follower(Replica r) {
        this.r = r;
        this.snapshotReceiver = new SnapshotReceiver(r.environment.wal().largestRecordBytes());
    }

    private ReplicationMessages.AppendEntriesResponse reply(boolean ok, long match) {
        return new ReplicationMessages.AppendEntriesResponse(r.term, ok, match, r.identity, r.electable);
    }

    private boolean acceptLeader(String from, long term) {
        if (term < r.term) {
            return false;
        }
        if (term > r.term) {
            r.adoptTerm(term, "a new owner");
        }
        if (r.role == Role.CANDIDATE) {
            r.transitionTo(Role.FOLLOWER, "another was elected");
        }
        if (!r.votedFor.equals(from)) {
            r.votedFor = from;
            voteBeingStored = Optional.of(Sinks.one());
            Sinks.One<Object> noted = voteBeingStored.get();
            r.storage.storeVote(() -> r.shard.afterUnlock(() -> noted.tryEmitValue(Boolean.TRUE)));
        }
        r.leaderId = from;
        r.leaderLeaseUntil = r.now().plus(r.environment.timing().lease());
        return true;
    }

    /** A lease is confirmed only once it is on disk whose it is: after a restart nobody else's may run. design 5.3 */
    private Mono<Object> afterVoteStored(Mono<Object> reply) {
        Optional<Sinks.One<Object>> n = voteBeingStored;
        voteBeingStored = Optional.empty();
        return n.map(s -> s.asMono().then(reply)).orElse(reply);
    }

    Mono<Object> onAppendEntries(String from, ReplicationMessages.AppendEntriesRequest a) {
        return afterVoteStored(take(from, a));
    }

    Mono<Object> onInstallSnapshot(String from, ReplicationMessages.InstallSnapshotRequest p) {
        return afterVoteStored(take(from, p));
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
        return new SnapshotChunkResponse(r.term, status, nextOffset, match, r.identity, r.electable);
    }

    private Mono<Object> take(String from, SnapshotChunkRequest piece) {
        if (!acceptLeader(from, piece.term())) {
            return Mono.just(reply(ChunkStatus.OUTDATED_TERM, 0, 0));
        }
        if (piece.snapshot().index() <= r.commits.appliedIndex()) {
            return Mono.just(
                    reply(ChunkStatus.INSTALLED, 0, Math.min(r.commits.appliedIndex(), r.storage.syncedIndex())));
        }
        SnapshotReceiver.ReceivedChunk progress = snapshotReceiver.receive(piece);
        if (progress.snapshot().isEmpty()) {
            return Mono.just(reply(progress.status(), progress.nextOffset(), 0));
        }
        try {
            byte[] whole = progress.snapshot().orElseThrow().bytes();
            return install(from, piece, r.environment.codec().read(whole, ReplicationMessages.ReplicaSnapshot.class));
        } catch (ServiceException e) {
            Replica.LOG.error(
                    "keeper: {} at {} cannot read a snapshot from {}.", r.partition, r.environment.self(), from);
            return Mono.just(reply(ChunkStatus.CORRUPT, 0, 0));
        }
    }

    private Mono<Object> install(String from, SnapshotChunkRequest piece, ReplicationMessages.ReplicaSnapshot base) {
        long index = piece.snapshot().index();
        if (base.index() != index || base.indexTerm() != piece.snapshot().indexTerm()) {
            return Mono.just(reply(ChunkStatus.CORRUPT, 0, 0));
        }
        Replica.LOG.info(
                "keeper: {} at {} takes a snapshot up to {} from {}.", r.partition, r.environment.self(), index, from);
        Sinks.One<Object> out = Sinks.one();
        r.storage.installSnapshot(base, () -> {
            SnapshotChunkResponse answer = reply(ChunkStatus.INSTALLED, 0, Math.min(index, r.storage.syncedIndex()));
            r.shard.afterUnlock(() -> out.tryEmitValue(answer));
        });
        r.bootstrap.promoteIfMember();
        return out.asMono();
    }

    /** Only the leader of this term can say so, and only of the identity that it heard. design 5.8 */
    private Mono<Object> onRevokeIdentity(String from, SnapshotMessages.RevokeIdentityRequest message) {
        boolean concerned = message.term() == r.term
                && from.equals(r.leaderId)
                && message.identity().equals(r.identity);
        boolean follows = r.role == Role.FOLLOWER || r.role == Role.UNINITIALIZED;
        if (!concerned || !follows) {
            return Mono.just(new ReplicationMessages.Acknowledgement(false));
        }
        Replica.LOG.error(
                "keeper: {} at {} had lost what it confirmed; it counts as lost.", r.partition, r.environment.self());
        Sinks.One<Object> out = Sinks.one();
        r.storage.replaceIdentity(
                () -> r.shard.afterUnlock(() -> out.tryEmitValue(new ReplicationMessages.Acknowledgement(true))));
        r.transitionTo(Role.UNINITIALIZED, "its identity was revoked");
        return out.asMono();
    }

    private Mono<Object> take(String from, ReplicationMessages.AppendEntriesRequest a) {
        if (!acceptLeader(from, a.term())) {
            return Mono.just(reply(false, 0));
        }
        if (a.prevIndex() > r.replicatedLog.lastIndex()) {
            return Mono.just(reply(false, r.replicatedLog.lastIndex()));
        }
        if (r.replicatedLog.contains(a.prevIndex()) && r.replicatedLog.termAt(a.prevIndex()) != a.prevTerm()) {
            return Mono.just(reply(false, Math.max(r.commits.commitIndex(), a.prevIndex() - 1)));
        }
        long index = a.prevIndex();
        List<LogEntry> fresh = new ArrayList<>();
        for (LogEntry item : a.entries()) {
            index++;
            if (index <= r.replicatedLog.baseIndex()) {
                continue;
            }
            if (fresh.isEmpty() && index <= r.replicatedLog.lastIndex()) {
                if (r.replicatedLog.termAt(index) == item.term()) {
                    continue;
                }
                r.storage.truncateFrom(index);
            }
            fresh.add(item);
        }
        long match = a.prevIndex() + a.entries().size();
        Sinks.One<Object> out = Sinks.one();
        if (fresh.isEmpty()) {
            r.commits.advanceTo(Math.min(a.commitIndex(), Math.min(match, r.replicatedLog.lastIndex())));
            return Mono.just(reply(true, Math.min(match, r.storage.syncedIndex())));
        }
        long term = r.term;
        r.storage.append(fresh, () -> {
            boolean still = r.term == term;
            ReplicationMessages.AppendEntriesResponse answer =
                    reply(still, still ? Math.min(match, r.storage.syncedIndex()) : 0);
            r.shard.afterUnlock(() -> out.tryEmitValue(answer));
        });
        r.commits.advanceTo(Math.min(a.commitIndex(), Math.min(match, r.replicatedLog.lastIndex())));
        return out.asMono();
    }

    private Mono<Object> take(String from, ReplicationMessages.InstallSnapshotRequest p) {
        if (!acceptLeader(from, p.term())) {
            return Mono.just(reply(false, 0));
        }
        long index = p.snapshot().index();
        if (index <= r.commits.appliedIndex()) {
            return Mono.just(reply(true, Math.min(r.commits.appliedIndex(), r.storage.syncedIndex())));
        }
        Replica.LOG.info(
                "keeper: {} at {} takes a view up to {} from {}.", r.partition, r.environment.self(), index, from);
        Sinks.One<Object> out = Sinks.one();
        long term = r.term;
        r.storage.installSnapshot(p.snapshot(), () -> {
            ReplicationMessages.AppendEntriesResponse answer = reply(r.term == term, r.term == term ? index : 0);
            r.shard.afterUnlock(() -> out.tryEmitValue(answer));
        });
        r.bootstrap.promoteIfMember();
        return out.asMono();
    }
}

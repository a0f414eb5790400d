package org.woadvale.common.replication;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;

/** The owner's knowledge of one other replica; one append in flight at a time. */
final class LogAppender {
    /** So many pieces in a row without an answer, and a whole snapshot is tried once. */
    private static final int LOST_CHUNKS_BEFORE_WHOLE = 6;

    final Duration startedAt;
    String identity = "";
    boolean electable;
    long matchIndex;
    /** When the latest confirmed renewal was sent, by the owner's clock. */
    Duration lastContact = Duration.ZERO;

    private final Replica replica;
    private final Leader leading;
    private final String follower;
    private final long term;
    private long nextIndex;
    private boolean inFlight;
    private Duration lastSent = Duration.ZERO;
    private long commitIndexSent;
    private boolean unresponsive;
    /** What was committed when the latest answered call was sent. */
    private long commitIndexAtResponse;
    /** The identity under which this follower reported less than it had confirmed. */
    private String revokedIdentity = "";
    /** Bytes of entries in one call: fewer after a call without an answer. */
    private int batchBytes = ReplicatedLog.BATCH_BYTES;

    private Optional<SnapshotSender> snapshotSender = Optional.empty();
    /** From the first piece of a snapshot until it has all that is committed. */
    private boolean catchingUp;
    /** Its latest answer told of entries that it holds and has not synced. */
    private boolean holdsUnsynced;
    /** It does not know pieces of snapshots: a build before them. */
    private boolean needsWholeSnapshot;
    /** Pieces without an answer since the latest one. */
    private int lostChunks;

    LogAppender(Replica replica, Leader leading, String to) {
        this.replica = replica;
        this.leading = leading;
        this.follower = to;
        this.term = replica.term;
        this.nextIndex = replica.replicatedLog.lastIndex() + 1;
        this.startedAt = replica.now();
    }

    boolean upToDateAs(String memberIdentity) {
        return matchIndex > 0 && identity.equals(memberIdentity);
    }

    private boolean inLeaderTerm() {
        return replica.role == Role.LEADER && replica.term == term;
    }

    /** A renewal is due each renew time; entries go at once. */
    void send(boolean look) {
        boolean soon =
                matchIndex == 0 && Joining.recently(replica, follower, startedAt) || holdsUnsynced && !unresponsive;
        Duration pause = soon
                ? replica.environment.timing().tick()
                : replica.environment.timing().heartbeat();
        boolean due = lastSent.isZero() || replica.now().compareTo(lastSent.plus(pause)) >= 0;
        boolean behind =
                nextIndex <= replica.replicatedLog.lastIndex() && !unresponsive && (!look || matchIndex > 0 || due);
        if (inFlight || !inLeaderTerm() || !(due || behind)) {
            return;
        }
        inFlight = true;
        lastSent = replica.now();
        Duration at = lastSent;
        commitIndexSent = replica.commits.commitIndex();
        if (nextIndex <= replica.replicatedLog.baseIndex()) {
            sendSnapshotChunk(at);
            return;
        }
        List<LogEntry> items = replica.replicatedLog.entriesAfter(nextIndex - 1, batchBytes);
        ReplicationMessages.AppendEntriesRequest ask = new ReplicationMessages.AppendEntriesRequest(
                replica.partition,
                term,
                nextIndex - 1,
                replica.replicatedLog.termAt(nextIndex - 1),
                items,
                replica.commits.commitIndex());
        long upTo = nextIndex - 1 + items.size();
        replica.shard.afterUnlock(() -> replica.environment
                .rpc()
                .call(
                        follower,
                        ask,
                        ReplicationMessages.AppendEntriesResponse.class,
                        replica.environment.timing().requestTimeout())
                .subscribe(
                        response -> replica.shard.run(() -> answered(response, at, upTo)),
                        e -> replica.shard.run(this::onRequestLost)));
    }

    /** No answer in time: the next call is smaller, so that a slow disk or link can keep up with it. */
    private void onRequestLost() {
        inFlight = false;
        unresponsive = true;
        batchBytes = Math.max(ReplicatedLog.SMALLEST_BATCH, batchBytes / 2);
        snapshotSender.ifPresent(SnapshotSender::onLost);
    }

    private void sendSnapshotChunk(Duration at) {
        SnapshotSender sender = snapshotSender.orElseGet(() -> new SnapshotSender(
                replica.storage.snapshotForFollowers(),
                replica.environment.timing().requestTimeout()));
        snapshotSender = Optional.of(sender);
        catchingUp = true;
        if (needsWholeSnapshot) {
            sendWholeSnapshot(sender, at);
            return;
        }
        SnapshotMessages.SnapshotChunkRequest piece = sender.nextChunk(replica.partition, term);
        replica.shard.afterUnlock(() -> replica.environment
                .rpc()
                .call(
                        follower,
                        piece,
                        SnapshotMessages.SnapshotChunkResponse.class,
                        replica.environment.timing().requestTimeout())
                .subscribe(
                        reply -> replica.shard.run(() -> answered(reply, at, sender)),
                        e -> replica.shard.run(
                                () -> onChunkLost(ServiceException.of(e).kind()))));
    }

    /** A build that does not know pieces refuses the first one, or drops the connection for it. */
    private void onChunkLost(ErrorKind why) {
        lostChunks++;
        needsWholeSnapshot = why == ErrorKind.BAD_REQUEST || lostChunks % LOST_CHUNKS_BEFORE_WHOLE == 0;
        onRequestLost();
    }

    private void sendWholeSnapshot(SnapshotSender sender, Duration at) {
        ReplicationMessages.InstallSnapshotRequest whole = new ReplicationMessages.InstallSnapshotRequest(
                replica.partition, term, replica.storage.snapshotWithoutIdentity());
        long upTo = whole.snapshot().index();
        snapshotSender = Optional.empty();
        needsWholeSnapshot = false;
        replica.shard.afterUnlock(() -> replica.environment
                .rpc()
                .call(
                        follower,
                        whole,
                        ReplicationMessages.AppendEntriesResponse.class,
                        replica.environment.timing().requestTimeout())
                .subscribe(
                        response -> replica.shard.run(() -> answered(response, at, upTo)),
                        e -> replica.shard.run(this::onRequestLost)));
    }

    private void answered(SnapshotMessages.SnapshotChunkResponse reply, Duration at, SnapshotSender sender) {
        inFlight = false;
        unresponsive = false;
        if (!inLeaderTerm() || !noteResponse(reply.term(), reply.identity(), reply.electable(), at)) {
            return;
        }
        lostChunks = 0;
        sender.onResponse(reply, replica.now().minus(at));
        switch (reply.status()) {
            case INSTALLED -> {
                snapshotSender = Optional.empty();
                matchIndex = Math.max(matchIndex, reply.matchIndex());
                nextIndex = Math.max(nextIndex, sender.index() + 1);
                leading.advanceCommit();
            }
            case CORRUPT, TOO_LARGE, OUTDATED_TERM -> {
                // with the next renewal and not at once: a snapshot that does not arrive must not fill the link
                snapshotSender = Optional.empty();
                return;
            }
            default -> {}
        }
        if (inLeaderTerm()) {
            lastSent = Duration.ZERO;
            send(false);
        }
    }

    /** What every answer tells; false if the follower knows a later term. */
    private boolean noteResponse(long answeredTerm, String answeredIdentity, boolean answeredWilling, Duration at) {
        if (answeredTerm > term) {
            replica.adoptTerm(answeredTerm, "a follower is in a later term");
            return false;
        }
        String counted = answeredIdentity.equals(revokedIdentity) ? "" : answeredIdentity;
        if (!counted.equals(identity)) {
            matchIndex = 0;
        }
        identity = counted;
        electable = answeredWilling;
        lastContact = at.compareTo(lastContact) > 0 ? at : lastContact;
        return true;
    }

    /** It had synced all that was committed when the latest answered call was sent: only then may it count. */
    boolean caughtUp() {
        return !identity.isEmpty()
                && matchIndex > 0
                && matchIndex >= commitIndexAtResponse
                && commitIndexAtResponse > 0;
    }

    /** The index from which the log must be kept for a follower on its way from a snapshot, if it still answers. */
    Optional<Long> firstIndexNeeded() {
        Duration heardAt = lastContact.compareTo(startedAt) > 0 ? lastContact : startedAt;
        Duration patience = replica.environment.timing().lease().multipliedBy(2);
        if (!catchingUp || replica.now().compareTo(heardAt.plus(patience)) > 0) {
            return Optional.empty();
        }
        return Optional.of(snapshotSender.map(SnapshotSender::index).orElse(nextIndex - 1));
    }

    /** A disk that is older than what was confirmed from it counts for nothing until it has another identity. */
    private void revokeIdentity(String reported) {
        if (!reported.equals(revokedIdentity)) {
            Replica.LOG.error(
                    "Follower {} of partition {} reports fewer entries than it had acknowledged: it counts as lost.",
                    follower,
                    replica.partition);
        }
        revokedIdentity = reported;
        identity = "";
        matchIndex = 0;
        replica.shard.afterUnlock(() -> replica.environment
                .rpc()
                .call(
                        follower,
                        new SnapshotMessages.RevokeIdentityRequest(replica.partition, term, revokedIdentity),
                        ReplicationMessages.Acknowledgement.class,
                        replica.environment.timing().requestTimeout())
                .subscribe(ok -> {}, e -> {}));
    }

    private void answered(ReplicationMessages.AppendEntriesResponse response, Duration at, long upTo) {
        inFlight = false;
        unresponsive = false;
        if (!inLeaderTerm()) {
            return;
        }
        if (!noteResponse(response.term(), response.identity(), response.electable(), at)) {
            return;
        }
        boolean lostWhatItConfirmed = !response.success() && response.matchIndex() < matchIndex;
        if (lostWhatItConfirmed || response.identity().equals(revokedIdentity)) {
            revokeIdentity(response.identity());
        }
        commitIndexAtResponse = commitIndexSent;
        if (response.success()) {
            matchIndex = identity.isEmpty() ? 0 : Math.max(matchIndex, response.matchIndex());
            holdsUnsynced = response.matchIndex() < upTo;
            catchingUp = catchingUp && matchIndex < commitIndexAtResponse;
            // what it holds and has not synced is not sent again: the next answers tell when it is
            nextIndex = Math.max(upTo + 1, Math.min(nextIndex, replica.replicatedLog.lastIndex() + 1));
            batchBytes = Math.min(ReplicatedLog.BATCH_BYTES, batchBytes * 2);
        } else {
            nextIndex = Math.min(nextIndex, response.matchIndex() + 1);
        }
        leading.advanceCommit();
        if (inLeaderTerm()
                && (nextIndex <= replica.replicatedLog.lastIndex() && response.matchIndex() >= upTo
                        || !response.success())) {
            send(false);
        } else if (inLeaderTerm()
                && commitIndexSent < replica.commits.commitIndex()
                && replica.commits.commitIndex() >= replica.replicatedLog.lastIndex()) {
            scheduleCommitNotice();
        }
    }

    /** Followers learn of commits soon, so that an successor is ready and an promotion is taken. */
    private void scheduleCommitNotice() {
        lastSent = lastSent.minus(replica.environment.timing().heartbeat());
    }
}

package org.woadvale.common.replication;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.ReplicationMessages.AppendEntriesRequest;
import org.woadvale.common.replication.ReplicationMessages.AppendEntriesResponse;
import org.woadvale.common.replication.ReplicationMessages.InstallSnapshotRequest;
import org.woadvale.common.replication.SnapshotMessages.SnapshotChunkRequest;
import org.woadvale.common.replication.SnapshotMessages.SnapshotChunkResponse;

/** Brings one follower up to the leader's log in one term: entries, heartbeats and snapshots, one request at a time. */
final class LogAppender {
    /** Is notified when a follower has acknowledged more of the log. */
    interface ProgressListener {
        void onProgress();
    }

    private static final Logger LOG = LogManager.getLogger(LogAppender.class);

    /** After so many chunks in a row without an answer the snapshot is tried once in a single request. */
    private static final int LOST_CHUNKS_BEFORE_WHOLE = 6;

    /** So long a node that is to join is asked often, since it opens its replica at any moment. */
    private static final Duration JOIN_PERIOD = Duration.ofSeconds(5);

    private final ReplicaState state;
    private final CommitTracker<?, ?> commits;
    private final ReplicaStorage storage;
    private final VoteStore votes;
    private final ProgressListener listener;
    private final String follower;
    private final FollowerProgress progress;
    private final long term;

    private long nextIndex;
    private boolean inFlight;
    private Duration lastSent = Duration.ZERO;
    private long commitIndexSent;
    /** The latest request had no answer in time. */
    private boolean unresponsive;
    /** Bytes of entries in one request: fewer after a request without an answer. */
    private int batchBytes = ReplicatedLog.MAX_BATCH_BYTES;
    /** Its latest response named entries that it has and has not synced. */
    private boolean holdsUnsynced;

    private Optional<SnapshotSender> snapshotSender = Optional.empty();
    /** From the first chunk of a snapshot until the follower has all that is committed. */
    private boolean catchingUp;
    /** The follower is of a build that does not know chunks. */
    private boolean needsWholeSnapshot;

    private int lostChunks;

    LogAppender(
            ReplicaState state,
            CommitTracker<?, ?> commits,
            ReplicaStorage storage,
            VoteStore votes,
            ProgressListener listener,
            String follower) {
        this.state = state;
        this.commits = commits;
        this.storage = storage;
        this.votes = votes;
        this.listener = listener;
        this.follower = follower;
        this.progress = new FollowerProgress(state.now());
        this.term = state.term();
        this.nextIndex = state.log().lastIndex() + 1;
    }

    FollowerProgress progress() {
        return progress;
    }

    private boolean inLeaderTerm() {
        return state.isLeader() && state.term() == term;
    }

    /** Sends a heartbeat if one is due. */
    void onTick() {
        boolean due = isHeartbeatDue();
        boolean entriesWait = hasEntriesToSend() && (progress.hasMatched() || due);
        send(due || entriesWait);
    }

    /** Sends new entries at once, unless a request is in flight. */
    void sendEntries() {
        send(isHeartbeatDue() || hasEntriesToSend());
    }

    private boolean isHeartbeatDue() {
        boolean often = !progress.hasMatched() && isJoining() || holdsUnsynced && !unresponsive;
        Duration pause = often ? state.timing().tick() : state.timing().heartbeat();
        return lastSent.isZero() || state.now().compareTo(lastSent.plus(pause)) >= 0;
    }

    private boolean hasEntriesToSend() {
        return nextIndex <= state.log().lastIndex() && !unresponsive;
    }

    private boolean isJoining() {
        return state.desiredMembers().contains(follower)
                && !state.membership().committed().containsKey(follower)
                && state.now().compareTo(progress.replicatingSince().plus(JOIN_PERIOD)) < 0;
    }

    private void send(boolean desired) {
        if (inFlight || !inLeaderTerm() || !desired) {
            return;
        }
        inFlight = true;
        lastSent = state.now();
        commitIndexSent = commits.commitIndex();
        if (nextIndex <= state.log().baseIndex()) {
            sendSnapshot();
        } else {
            sendAppendEntries();
        }
    }

    private void sendAppendEntries() {
        ReplicatedLog log = state.log();
        long previous = nextIndex - 1;
        List<LogEntry> entries = log.entriesAfter(previous, batchBytes);
        AppendEntriesRequest request = new AppendEntriesRequest(
                state.partition(), term, previous, log.termAt(previous), entries, commits.commitIndex());
        long lastIndex = previous + entries.size();
        Duration sentAt = lastSent;
        call(request, AppendEntriesResponse.class, response -> onResponse(response, sentAt, lastIndex), e -> onLost());
    }

    /** What runs on the shard when a response, or none, has come. */
    private <T> void call(
            ReplicationRequest request, Class<T> responseType, Consumer<T> onResponse, Consumer<Throwable> onError) {
        state.shard()
                .afterUnlock(() -> state.environment()
                        .rpc()
                        .call(follower, request, responseType, state.timing().requestTimeout())
                        .subscribe(
                                response -> state.shard().run(() -> onResponse.accept(response)),
                                error -> state.shard().run(() -> onError.accept(error))));
    }

    /** No answer in time: the next request is smaller, so that a slow disk or link can keep up with it. */
    private void onLost() {
        inFlight = false;
        unresponsive = true;
        batchBytes = Math.max(ReplicatedLog.MIN_BATCH_BYTES, batchBytes / 2);
        snapshotSender.ifPresent(SnapshotSender::onLost);
    }

    private void sendSnapshot() {
        SnapshotSender sender = snapshotSender.orElseGet(() -> new SnapshotSender(
                storage.snapshotForFollowers(), state.timing().requestTimeout()));
        snapshotSender = Optional.of(sender);
        catchingUp = true;
        if (needsWholeSnapshot) {
            sendWholeSnapshot();
            return;
        }
        SnapshotChunkRequest chunk = sender.nextChunk(state.partition(), term);
        Duration sentAt = lastSent;
        call(
                chunk,
                SnapshotChunkResponse.class,
                response -> onChunkResponse(response, sentAt, sender),
                error -> onChunkLost(ServiceException.of(error).kind()));
    }

    /** A build that does not know chunks refuses the first one, or drops the connection for it. */
    private void onChunkLost(ErrorKind kind) {
        lostChunks++;
        needsWholeSnapshot = kind == ErrorKind.BAD_REQUEST || lostChunks % LOST_CHUNKS_BEFORE_WHOLE == 0;
        onLost();
    }

    private void sendWholeSnapshot() {
        InstallSnapshotRequest request =
                new InstallSnapshotRequest(state.partition(), term, storage.snapshotWithoutIdentity());
        long lastIndex = request.snapshot().index();
        snapshotSender = Optional.empty();
        needsWholeSnapshot = false;
        Duration sentAt = lastSent;
        call(request, AppendEntriesResponse.class, response -> onResponse(response, sentAt, lastIndex), e -> onLost());
    }

    private void onChunkResponse(SnapshotChunkResponse response, Duration sentAt, SnapshotSender sender) {
        inFlight = false;
        unresponsive = false;
        if (!inLeaderTerm() || deposedBy(response.term())) {
            return;
        }
        progress.onContact(response.identity(), response.electable(), sentAt);
        lostChunks = 0;
        sender.onResponse(response, state.now().minus(sentAt));
        switch (response.status()) {
            case INSTALLED -> {
                snapshotSender = Optional.empty();
                progress.onSnapshotInstalled(response.matchIndex());
                nextIndex = Math.max(nextIndex, sender.index() + 1);
                listener.onProgress();
            }
            case CORRUPT, TOO_LARGE, OUTDATED_TERM -> {
                // with the next heartbeat and not at once: a snapshot that does not arrive must not fill the link
                snapshotSender = Optional.empty();
                return;
            }
            default -> {}
        }
        if (inLeaderTerm()) {
            lastSent = Duration.ZERO;
            sendEntries();
        }
    }

    private boolean deposedBy(long answeredTerm) {
        if (answeredTerm <= term) {
            return false;
        }
        votes.adoptTerm(answeredTerm, "a follower is in a later term");
        return true;
    }

    private void onResponse(AppendEntriesResponse response, Duration sentAt, long lastIndexSent) {
        inFlight = false;
        unresponsive = false;
        if (!inLeaderTerm() || deposedBy(response.term())) {
            return;
        }
        progress.onContact(response.identity(), response.electable(), sentAt);
        if (progress.check(response) == FollowerProgress.Finding.LOST_ACKNOWLEDGED) {
            revokeIdentity(response.identity());
        }
        progress.onCommitIndexAcknowledged(commitIndexSent);
        if (response.success()) {
            progress.onMatch(response.matchIndex());
            holdsUnsynced = response.matchIndex() < lastIndexSent;
            catchingUp = catchingUp && !progress.hasAcknowledgedCommitIndex();
            // what it holds and has not synced is not sent again: the next responses tell when it is
            nextIndex =
                    Math.max(lastIndexSent + 1, Math.min(nextIndex, state.log().lastIndex() + 1));
            batchBytes = Math.min(ReplicatedLog.MAX_BATCH_BYTES, batchBytes * 2);
        } else {
            nextIndex = Math.min(nextIndex, response.matchIndex() + 1);
        }
        listener.onProgress();
        if (inLeaderTerm()) {
            sendNext(response, lastIndexSent);
        }
    }

    private void sendNext(AppendEntriesResponse response, long lastIndexSent) {
        long lastIndex = state.log().lastIndex();
        boolean syncedAllSent = response.matchIndex() >= lastIndexSent;
        if (!response.success() || nextIndex <= lastIndex && syncedAllSent) {
            sendEntries();
        } else if (commitIndexSent < commits.commitIndex() && commits.commitIndex() >= lastIndex) {
            // followers learn of commits soon, so that a successor is ready and a promotion is noticed
            lastSent = lastSent.minus(state.timing().heartbeat());
        }
    }

    /** A disk that has less than was acknowledged from it counts for nothing until it has another identity. */
    private void revokeIdentity(String reported) {
        if (progress.revoke(reported)) {
            LOG.error(
                    "Follower {} of partition {} reports fewer entries than it had acknowledged: it counts as lost.",
                    follower,
                    state.partition());
        }
        SnapshotMessages.RevokeIdentityRequest request =
                new SnapshotMessages.RevokeIdentityRequest(state.partition(), term, reported);
        state.shard()
                .afterUnlock(() -> state.environment()
                        .rpc()
                        .call(
                                follower,
                                request,
                                ReplicationMessages.Acknowledgement.class,
                                state.timing().requestTimeout())
                        .subscribe(acknowledgement -> {}, e -> {}));
    }

    /** The index from which the log must be kept for a follower that is catching up, if it still answers. */
    Optional<Long> firstIndexNeeded() {
        Duration heardAt = progress.lastContact().compareTo(progress.replicatingSince()) > 0
                ? progress.lastContact()
                : progress.replicatingSince();
        Duration patience = state.timing().lease().multipliedBy(2);
        if (!catchingUp || state.now().compareTo(heardAt.plus(patience)) > 0) {
            return Optional.empty();
        }
        return Optional.of(snapshotSender.map(SnapshotSender::index).orElse(nextIndex - 1));
    }
}

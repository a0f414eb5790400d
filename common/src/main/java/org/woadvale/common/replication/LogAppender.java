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

/**
 * Replicates the leader's log to one follower in one term: entries, heartbeats and snapshots, one request at a time.
 */
final class LogAppender {
    /** Notified when a follower has acknowledged more of the log. */
    interface ProgressListener {
        void onProgress();
    }

    private static final Logger LOG = LogManager.getLogger(LogAppender.class);

    /** After this many consecutive chunks without a response, the snapshot is sent once in a single request. */
    private static final int LOST_CHUNKS_BEFORE_SINGLE_REQUEST = 6;

    /** How long heartbeats to a joining node are sent at every tick, because it may open its replica at any moment. */
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
    /** The latest request got no response in time. */
    private boolean unresponsive;
    /** Maximum bytes of entries in one request: halved after a request without a response. */
    private int batchBytes = ReplicatedLog.MAX_BATCH_BYTES;
    /** The latest response shows that the follower has entries that it has not synced. */
    private boolean hasUnsyncedEntries;

    private Optional<SnapshotSender> snapshotSender = Optional.empty();
    /** True from the first chunk of a snapshot until the follower has all committed entries. */
    private boolean catchingUp;
    /** Sends the snapshot in a single request, because the follower may run a build that does not support chunks. */
    private boolean needsSingleRequest;

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
        boolean entriesDue = hasEntriesToSend() && (progress.hasMatched() || due);
        send(due || entriesDue);
    }

    /** Sends new entries at once, unless a request is in flight. */
    void sendEntries() {
        send(isHeartbeatDue() || hasEntriesToSend());
    }

    private boolean isHeartbeatDue() {
        boolean frequent = !progress.hasMatched() && isJoining() || hasUnsyncedEntries && !unresponsive;
        Duration interval = frequent ? state.timing().tick() : state.timing().heartbeat();
        return lastSent.isZero() || state.now().compareTo(lastSent.plus(interval)) >= 0;
    }

    private boolean hasEntriesToSend() {
        return nextIndex <= state.log().lastIndex() && !unresponsive;
    }

    private boolean isJoining() {
        return state.desiredMembers().contains(follower)
                && !state.membership().committed().containsKey(follower)
                && state.now().compareTo(progress.replicatingSince().plus(JOIN_PERIOD)) < 0;
    }

    private void send(boolean due) {
        if (inFlight || !inLeaderTerm() || !due) {
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

    /** Sends a request to the follower; the callbacks run on the shard. */
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

    /** Handles a request without a response: the next request is smaller, so that a slow disk or link can keep up. */
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
        if (needsSingleRequest) {
            sendSnapshotInSingleRequest();
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

    /**
     * Handles a chunk without a response. A build without chunk support rejects the first chunk or drops the
     * connection.
     */
    private void onChunkLost(ErrorKind kind) {
        lostChunks++;
        needsSingleRequest = kind == ErrorKind.BAD_REQUEST || lostChunks % LOST_CHUNKS_BEFORE_SINGLE_REQUEST == 0;
        onLost();
    }

    private void sendSnapshotInSingleRequest() {
        InstallSnapshotRequest request =
                new InstallSnapshotRequest(state.partition(), term, storage.snapshotWithoutIdentity());
        long lastIndex = request.snapshot().index();
        snapshotSender = Optional.empty();
        needsSingleRequest = false;
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
                // retried with the next heartbeat and not immediately: a snapshot that cannot be delivered must not
                // saturate the link
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

    private boolean deposedBy(long responseTerm) {
        if (responseTerm <= term) {
            return false;
        }
        votes.adoptTerm(responseTerm, "a follower is in a later term");
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
            hasUnsyncedEntries = response.matchIndex() < lastIndexSent;
            catchingUp = catchingUp && !progress.hasAcknowledgedCommitIndex();
            // entries that the follower has but has not synced are not sent again: later responses report when they are
            // synced
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
            // makes the next heartbeat due, so that followers learn of commits early: a successor is ready and a
            // promotion is noticed
            lastSent = lastSent.minus(state.timing().heartbeat());
        }
    }

    /** Stops counting a follower whose disk lost acknowledged entries, until it has another identity. */
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

    /** The index from which the log must be kept for a follower that is catching up, if it still responds. */
    Optional<Long> firstIndexNeeded() {
        Duration lastHeardAt = progress.lastContact().compareTo(progress.replicatingSince()) > 0
                ? progress.lastContact()
                : progress.replicatingSince();
        Duration retentionPeriod = state.timing().lease().multipliedBy(2);
        if (!catchingUp || state.now().compareTo(lastHeardAt.plus(retentionPeriod)) > 0) {
            return Optional.empty();
        }
        return Optional.of(snapshotSender.map(SnapshotSender::index).orElse(nextIndex - 1));
    }
}

package org.woadvale.common.replication;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;

/** The owner's knowledge of one other replica; one append in flight at a time. */
final class FollowerProgress {
    /** So many pieces in a row without an answer, and a whole snapshot is tried once. */
    private static final int LOST_BEFORE_WHOLE = 6;

    final Duration since;
    String identity = "";
    boolean willing;
    long match;
    /** When the latest confirmed renewal was sent, by the owner's clock. */
    Duration confirmed = Duration.ZERO;

    private final Replica r;
    private final Leader leading;
    private final String to;
    private final long term;
    private long next;
    private boolean inFlight;
    private Duration sent = Duration.ZERO;
    private long commitTold;
    private boolean trouble;
    /** What was committed when the latest answered call was sent. */
    private long commitAtAnswer;
    /** The identity under which this follower reported less than it had confirmed. */
    private String revoked = "";
    /** Bytes of entries in one call: fewer after a call without an answer. */
    private int batchBytes = ReplicatedLog.BATCH_BYTES;

    private Optional<SnapshotSender> snapshot = Optional.empty();
    /** From the first piece of a snapshot until it has all that is committed. */
    private boolean catchingUp;
    /** Its latest answer told of entries that it holds and has not synced. */
    private boolean holdsUnsynced;
    /** It does not know pieces of snapshots: a build before them. */
    private boolean takesWholeSnapshots;
    /** Pieces without an answer since the latest one. */
    private int lostPieces;

    FollowerProgress(Replica r, Leader leading, String to) {
        this.r = r;
        this.leading = leading;
        this.to = to;
        this.term = r.term;
        this.next = r.replicatedLog.lastIndex() + 1;
        this.since = r.now();
    }

    private boolean current() {
        return r.phase == Phase.OWNING && r.term == term;
    }

    /** A renewal is due each renew time; entries go at once. */
    void send(boolean look) {
        Duration pause = holdsUnsynced && !trouble
                ? r.env.timing().look()
                : r.env.timing().renew();
        boolean due = sent.isZero() || r.now().compareTo(sent.plus(pause)) >= 0;
        boolean behind = next <= r.replicatedLog.lastIndex() && !trouble && (!look || match > 0 || due);
        if (inFlight || !current() || !(due || behind)) {
            return;
        }
        inFlight = true;
        sent = r.now();
        Duration at = sent;
        commitTold = r.progress.commit();
        if (next <= r.replicatedLog.baseIndex()) {
            sendPiece(at);
            return;
        }
        List<LogEntry> items = r.replicatedLog.after(next - 1, batchBytes);
        Messages.AppendAsk ask = new Messages.AppendAsk(
                r.part, term, next - 1, r.replicatedLog.termAt(next - 1), items, r.progress.commit());
        long upTo = next - 1 + items.size();
        r.shard.leave(() -> r.env.rpc()
                .ask(to, ask, Messages.AppendReply.class, r.env.timing().ask())
                .subscribe(a -> r.shard.run(() -> answered(a, at, upTo)), e -> r.shard.run(this::lost)));
    }

    /** No answer in time: the next call is smaller, so that a slow disk or link can keep up with it. */
    private void lost() {
        inFlight = false;
        trouble = true;
        batchBytes = Math.max(ReplicatedLog.SMALLEST_BATCH, batchBytes / 2);
        snapshot.ifPresent(SnapshotSender::lost);
    }

    private void sendPiece(Duration at) {
        SnapshotSender sender = snapshot.orElseGet(() -> new SnapshotSender(
                r.store.snapshotForFollowers(), r.env.timing().ask()));
        snapshot = Optional.of(sender);
        catchingUp = true;
        if (takesWholeSnapshots) {
            sendWhole(sender, at);
            return;
        }
        SnapshotMessages.SnapshotPiece piece = sender.next(r.part, term);
        r.shard.leave(() -> r.env.rpc()
                .ask(
                        to,
                        piece,
                        SnapshotMessages.SnapshotReply.class,
                        r.env.timing().ask())
                .subscribe(
                        reply -> r.shard.run(() -> answered(reply, at, sender)),
                        e -> r.shard.run(() -> lostPiece(ServiceException.of(e).kind()))));
    }

    /** A build that does not know pieces refuses the first one, or drops the connection for it. */
    private void lostPiece(ErrorKind why) {
        lostPieces++;
        takesWholeSnapshots = why == ErrorKind.BAD_REQUEST || lostPieces % LOST_BEFORE_WHOLE == 0;
        lost();
    }

    private void sendWhole(SnapshotSender sender, Duration at) {
        Messages.ViewPush whole = new Messages.ViewPush(r.part, term, r.store.snapshotBase());
        long upTo = whole.base().index();
        snapshot = Optional.empty();
        takesWholeSnapshots = false;
        r.shard.leave(() -> r.env.rpc()
                .ask(to, whole, Messages.AppendReply.class, r.env.timing().ask())
                .subscribe(a -> r.shard.run(() -> answered(a, at, upTo)), e -> r.shard.run(this::lost)));
    }

    private void answered(SnapshotMessages.SnapshotReply reply, Duration at, SnapshotSender sender) {
        inFlight = false;
        trouble = false;
        if (!current() || !heard(reply.term(), reply.identity(), reply.willing(), at)) {
            return;
        }
        lostPieces = 0;
        sender.answered(reply, r.now().minus(at));
        switch (reply.status()) {
            case INSTALLED -> {
                snapshot = Optional.empty();
                match = Math.max(match, reply.match());
                next = Math.max(next, sender.index() + 1);
                leading.count();
            }
            case CORRUPT, TOO_LARGE, OUTDATED_TERM -> {
                // with the next renewal and not at once: a snapshot that does not arrive must not fill the link
                snapshot = Optional.empty();
                return;
            }
            default -> {}
        }
        if (current()) {
            sent = Duration.ZERO;
            send(false);
        }
    }

    /** What every answer tells; false if the follower knows a later term. */
    private boolean heard(long answeredTerm, String answeredIdentity, boolean answeredWilling, Duration at) {
        if (answeredTerm > term) {
            r.adopt(answeredTerm, "a follower is ahead");
            return false;
        }
        String counted = answeredIdentity.equals(revoked) ? "" : answeredIdentity;
        if (!counted.equals(identity)) {
            match = 0;
        }
        identity = counted;
        willing = answeredWilling;
        confirmed = at.compareTo(confirmed) > 0 ? at : confirmed;
        return true;
    }

    /** It had synced all that was committed when the latest answered call was sent: only then may it count. */
    boolean caughtUp() {
        return !identity.isEmpty() && match > 0 && match >= commitAtAnswer && commitAtAnswer > 0;
    }

    /** The index from which the log must be kept for a follower on its way from a snapshot, if it still answers. */
    Optional<Long> needsLogFrom() {
        Duration heardAt = confirmed.compareTo(since) > 0 ? confirmed : since;
        Duration patience = r.env.timing().lease().multipliedBy(2);
        if (!catchingUp || r.now().compareTo(heardAt.plus(patience)) > 0) {
            return Optional.empty();
        }
        return Optional.of(snapshot.map(SnapshotSender::index).orElse(next - 1));
    }

    /** A disk that is older than what was confirmed from it counts for nothing until it has another identity. */
    private void revoke(String reported) {
        if (!reported.equals(revoked)) {
            Replica.LOG.error("keeper: {} of {} reports less than it had confirmed; it counts as lost.", to, r.part);
        }
        revoked = reported;
        identity = "";
        match = 0;
        r.shard.leave(() -> r.env.rpc()
                .ask(
                        to,
                        new SnapshotMessages.IdentityRevoked(r.part, term, revoked),
                        Messages.Ok.class,
                        r.env.timing().ask())
                .subscribe(ok -> {}, e -> {}));
    }

    private void answered(Messages.AppendReply a, Duration at, long upTo) {
        inFlight = false;
        trouble = false;
        if (!current()) {
            return;
        }
        if (!heard(a.term(), a.identity(), a.willing(), at)) {
            return;
        }
        boolean lostWhatItConfirmed = !a.ok() && a.match() < match;
        if (lostWhatItConfirmed || a.identity().equals(revoked)) {
            revoke(a.identity());
        }
        commitAtAnswer = commitTold;
        if (a.ok()) {
            match = identity.isEmpty() ? 0 : Math.max(match, a.match());
            holdsUnsynced = a.match() < upTo;
            catchingUp = catchingUp && match < commitAtAnswer;
            // what it holds and has not synced is not sent again: the next answers tell when it is
            next = Math.max(upTo + 1, Math.min(next, r.replicatedLog.lastIndex() + 1));
            batchBytes = Math.min(ReplicatedLog.BATCH_BYTES, batchBytes * 2);
        } else {
            next = Math.min(next, a.match() + 1);
        }
        leading.count();
        if (current() && (next <= r.replicatedLog.lastIndex() && a.match() >= upTo || !a.ok())) {
            send(false);
        } else if (current()
                && commitTold < r.progress.commit()
                && r.progress.commit() >= r.replicatedLog.lastIndex()) {
            tellCommit();
        }
    }

    /** Followers learn of commits soon, so that an successor is ready and an promotion is taken. */
    private void tellCommit() {
        sent = sent.minus(r.env.timing().renew());
    }
}

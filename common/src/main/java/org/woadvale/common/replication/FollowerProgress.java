package org.woadvale.common.replication;

import java.time.Duration;
import java.util.List;

/** The owner's knowledge of one other replica; one append in flight at a time. */
final class FollowerProgress {
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
        boolean due =
                sent.isZero() || r.now().compareTo(sent.plus(r.env.timing().renew())) >= 0;
        boolean behind = next <= r.replicatedLog.lastIndex() && !trouble && (!look || match > 0 || due);
        if (inFlight || !current() || !(due || behind)) {
            return;
        }
        inFlight = true;
        sent = r.now();
        Duration at = sent;
        Object ask;
        long upTo;
        if (next <= r.replicatedLog.baseIndex()) {
            Messages.Base b = r.store.base();
            ask = new Messages.ViewPush(
                    r.part,
                    term,
                    new Messages.Base(
                            "", term, "", false, b.index(), b.indexTerm(), b.group(), b.machine(), List.of()));
            upTo = b.index();
        } else {
            List<LogEntry> items = r.replicatedLog.after(next - 1);
            ask = new Messages.AppendAsk(
                    r.part, term, next - 1, r.replicatedLog.termAt(next - 1), items, r.progress.commit());
            upTo = next - 1 + items.size();
        }
        commitTold = r.progress.commit();
        r.shard.leave(() -> r.env.rpc()
                .ask(to, ask, Messages.AppendReply.class, r.env.timing().ask())
                .subscribe(
                        a -> r.shard.run(() -> answered(a, at, upTo)),
                        e -> r.shard.run(() -> {
                            inFlight = false;
                            trouble = true;
                        })));
    }

    private void answered(Messages.AppendReply a, Duration at, long upTo) {
        inFlight = false;
        trouble = false;
        if (!current()) {
            return;
        }
        if (a.term() > term) {
            r.adopt(a.term(), "a follower is ahead");
            return;
        }
        if (!a.identity().equals(identity)) {
            identity = a.identity();
            match = 0;
        }
        willing = a.willing();
        confirmed = at.compareTo(confirmed) > 0 ? at : confirmed;
        if (a.ok()) {
            match = Math.max(match, a.match());
            next = Math.max(match + 1, Math.min(next, r.replicatedLog.lastIndex() + 1));
            if (a.match() < upTo) {
                next = a.match() + 1;
            }
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

package org.woadvale.common.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.woadvale.common.replication.SnapshotMessages.PieceStatus;
import org.woadvale.common.replication.SnapshotMessages.SnapshotPiece;
import org.woadvale.common.replication.SnapshotMessages.SnapshotReply;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Sampling changes and views from the owner: design 5.4. */
final class FollowerLog {
    private final Replica r;
    private Optional<Sinks.One<Object>> noting = Optional.empty();
    private final SnapshotReceiver receiver;

    FollowerLog(Replica r) {
        this.r = r;
        this.receiver = new SnapshotReceiver(r.env.wal().largest());
    }

    private Messages.AppendReply reply(boolean ok, long match) {
        return new Messages.AppendReply(r.term, ok, match, r.identity, r.willing);
    }

    private boolean heard(String from, long term) {
        if (term < r.term) {
            return false;
        }
        if (term > r.term) {
            r.adopt(term, "a new owner");
        }
        if (r.phase == Phase.STANDING) {
            r.become(Phase.FOLLOWING, "another was elected");
        }
        if (!r.votedFor.equals(from)) {
            r.votedFor = from;
            noting = Optional.of(Sinks.one());
            Sinks.One<Object> noted = noting.get();
            r.store.vote(() -> r.shard.leave(() -> noted.tryEmitValue(Boolean.TRUE)));
        }
        r.owner = from;
        r.leaseHeardUntil = r.now().plus(r.env.timing().lease());
        return true;
    }

    /** A lease is confirmed only once it is on disk whose it is: after a restart nobody else's may run. design 5.3 */
    private Mono<Object> noted(Mono<Object> reply) {
        Optional<Sinks.One<Object>> n = noting;
        noting = Optional.empty();
        return n.map(s -> s.asMono().then(reply)).orElse(reply);
    }

    Mono<Object> append(String from, Messages.AppendAsk a) {
        return noted(take(from, a));
    }

    Mono<Object> view(String from, Messages.ViewPush p) {
        return noted(take(from, p));
    }

    Mono<Object> snapshot(String from, Object body) {
        if (body instanceof SnapshotPiece piece) {
            return noted(take(from, piece));
        }
        if (body instanceof SnapshotMessages.IdentityRevoked message) {
            return revoked(from, message);
        }
        return Mono.error(new ServiceException(ErrorKind.BAD_REQUEST, "A replica does not answer this."));
    }

    private SnapshotReply reply(PieceStatus status, long nextOffset, long match) {
        return new SnapshotReply(r.term, status, nextOffset, match, r.identity, r.willing);
    }

    private Mono<Object> take(String from, SnapshotPiece piece) {
        if (!heard(from, piece.term())) {
            return Mono.just(reply(PieceStatus.OUTDATED_TERM, 0, 0));
        }
        if (piece.id().index() <= r.progress.applied()) {
            return Mono.just(reply(PieceStatus.INSTALLED, 0, Math.min(r.progress.applied(), r.store.synced())));
        }
        SnapshotReceiver.Progress progress = receiver.take(piece);
        if (progress.whole().isEmpty()) {
            return Mono.just(reply(progress.status(), progress.nextOffset(), 0));
        }
        try {
            byte[] whole = progress.whole().orElseThrow().bytes();
            return install(from, piece, r.env.codec().read(whole, Messages.Base.class));
        } catch (ServiceException e) {
            Replica.LOG.error("keeper: {} at {} cannot read a snapshot from {}.", r.part, r.env.self(), from);
            return Mono.just(reply(PieceStatus.CORRUPT, 0, 0));
        }
    }

    private Mono<Object> install(String from, SnapshotPiece piece, Messages.Base base) {
        long index = piece.id().index();
        if (base.index() != index || base.indexTerm() != piece.id().indexTerm()) {
            return Mono.just(reply(PieceStatus.CORRUPT, 0, 0));
        }
        Replica.LOG.info("keeper: {} at {} takes a snapshot up to {} from {}.", r.part, r.env.self(), index, from);
        Sinks.One<Object> out = Sinks.one();
        r.store.install(base, () -> {
            SnapshotReply answer = reply(PieceStatus.INSTALLED, 0, Math.min(index, r.store.synced()));
            r.shard.leave(() -> out.tryEmitValue(answer));
        });
        r.bootstrap.considerPromotion();
        return out.asMono();
    }

    /** Only the leader of this term can say so, and only of the identity that it heard. design 5.8 */
    private Mono<Object> revoked(String from, SnapshotMessages.IdentityRevoked message) {
        boolean concerned = message.term() == r.term
                && from.equals(r.owner)
                && message.identity().equals(r.identity);
        boolean follows = r.phase == Phase.FOLLOWING || r.phase == Phase.BLANK;
        if (!concerned || !follows) {
            return Mono.just(new Messages.Ok(false));
        }
        Replica.LOG.error("keeper: {} at {} had lost what it confirmed; it counts as lost.", r.part, r.env.self());
        Sinks.One<Object> out = Sinks.one();
        r.store.takeNewIdentity(() -> r.shard.leave(() -> out.tryEmitValue(new Messages.Ok(true))));
        r.become(Phase.BLANK, "its identity was revoked");
        return out.asMono();
    }

    private Mono<Object> take(String from, Messages.AppendAsk a) {
        if (!heard(from, a.term())) {
            return Mono.just(reply(false, 0));
        }
        if (a.prevIndex() > r.replicatedLog.lastIndex()) {
            return Mono.just(reply(false, r.replicatedLog.lastIndex()));
        }
        if (r.replicatedLog.holds(a.prevIndex()) && r.replicatedLog.termAt(a.prevIndex()) != a.prevTerm()) {
            return Mono.just(reply(false, Math.max(r.progress.commit(), a.prevIndex() - 1)));
        }
        long index = a.prevIndex();
        List<LogEntry> fresh = new ArrayList<>();
        for (LogEntry item : a.items()) {
            index++;
            if (index <= r.replicatedLog.baseIndex()) {
                continue;
            }
            if (fresh.isEmpty() && index <= r.replicatedLog.lastIndex()) {
                if (r.replicatedLog.termAt(index) == item.term()) {
                    continue;
                }
                r.store.cutFrom(index);
            }
            fresh.add(item);
        }
        long match = a.prevIndex() + a.items().size();
        Sinks.One<Object> out = Sinks.one();
        if (fresh.isEmpty()) {
            r.progress.commitTo(Math.min(a.commit(), Math.min(match, r.replicatedLog.lastIndex())));
            return Mono.just(reply(true, Math.min(match, r.store.synced())));
        }
        long term = r.term;
        r.store.append(fresh, () -> {
            boolean still = r.term == term;
            Messages.AppendReply answer = reply(still, still ? Math.min(match, r.store.synced()) : 0);
            r.shard.leave(() -> out.tryEmitValue(answer));
        });
        r.progress.commitTo(Math.min(a.commit(), Math.min(match, r.replicatedLog.lastIndex())));
        return out.asMono();
    }

    private Mono<Object> take(String from, Messages.ViewPush p) {
        if (!heard(from, p.term())) {
            return Mono.just(reply(false, 0));
        }
        long index = p.base().index();
        if (index <= r.progress.applied()) {
            return Mono.just(reply(true, Math.min(r.progress.applied(), r.store.synced())));
        }
        Replica.LOG.info("keeper: {} at {} takes a view up to {} from {}.", r.part, r.env.self(), index, from);
        Sinks.One<Object> out = Sinks.one();
        long term = r.term;
        r.store.install(p.base(), () -> {
            Messages.AppendReply answer = reply(r.term == term, r.term == term ? index : 0);
            r.shard.leave(() -> out.tryEmitValue(answer));
        });
        r.bootstrap.considerPromotion();
        return out.asMono();
    }
}

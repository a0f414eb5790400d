package org.woadvale.common.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Sampling changes and views from the owner: design 5.4. */
final class FollowerLog {
    private final Replica r;
    private Optional<Sinks.One<Object>> noting = Optional.empty();

    FollowerLog(Replica r) {
        this.r = r;
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

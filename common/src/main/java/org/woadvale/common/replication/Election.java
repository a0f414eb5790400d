package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Standing, and voting for others: design 5.3. */
final class Election {
    private final Replica r;
    private Duration standAt = Duration.ZERO;
    private Map<String, String> votes = new TreeMap<>();

    Election(Replica r) {
        this.r = r;
    }

    void look() {
        if (lastOwner() && r.groups.latest().containsKey(r.env.self())) {
            standAt = standAt.isZero() ? r.now().plus(patience()) : standAt;
            if (r.now().compareTo(standAt) >= 0) {
                stand(false);
            }
        } else if (r.now().compareTo(r.leaseHeardUntil) < 0
                || !r.groups.latest().containsKey(r.env.self())) {
            standAt = Duration.ZERO;
        } else if (standAt.isZero()) {
            standAt = r.now().plus(patience());
        } else if (r.now().compareTo(standAt) >= 0) {
            stand(false);
        }
    }

    /**
     * Started again, and nobody else can hold a lease that was confirmed here: it was ours, and ended with our former
     * life. design 5.3
     */
    private boolean lastOwner() {
        return r.term > 0 && r.votedFor.equals(r.env.self()) && r.owner.isEmpty();
    }

    /** The first of the wanted list stands first; the others leave it time: owners spread by placement. */
    private Duration patience() {
        Duration spread = r.env.timing().spread();
        long jitter = Math.floorMod(r.env.random().getAsLong(), spread.toNanos());
        boolean first = !r.wanted.isEmpty() && r.wanted.get(0).equals(r.env.self());
        return first ? Duration.ofNanos(jitter / 8) : spread.dividedBy(2).plusNanos(jitter);
    }

    /** A dry round first, so that a replica nobody would elect does not raise the term. */
    void stand(boolean leadershipTransferred) {
        standAt = Duration.ZERO;
        r.become(Phase.STANDING, "the part is vacant");
        r.owner = "";
        round(r.term + 1, true, leadershipTransferred);
    }

    private void round(long term, boolean dry, boolean leadershipTransferred) {
        votes = new TreeMap<>(Map.of(r.env.self(), r.identity));
        Messages.VoteAsk ask = new Messages.VoteAsk(
                r.part, term, r.replicatedLog.lastIndex(), r.replicatedLog.lastTerm(), dry, leadershipTransferred);
        for (String n : r.groups.membersBut(r.env.self())) {
            r.shard.leave(() -> r.env.rpc()
                    .ask(n, ask, Messages.VoteReply.class, r.env.timing().ask())
                    .subscribe(v -> r.shard.run(() -> answered(n, ask, v)), e -> {}));
        }
        r.env.schedules()
                .after(
                        r.env.timing().ask(),
                        () -> r.shard.run(() -> {
                            if (r.phase == Phase.STANDING && (dry ? r.term + 1 : r.term) == term) {
                                r.become(Phase.FOLLOWING, "no majority in time");
                            }
                        }));
    }

    private void answered(String from, Messages.VoteAsk ask, Messages.VoteReply v) {
        r.adopt(v.term(), "a neighbour is ahead");
        long expected = ask.dry() ? r.term + 1 : r.term;
        if (r.phase != Phase.STANDING || ask.term() != expected || !v.granted()) {
            return;
        }
        votes.put(from, v.identity());
        if (!r.groups.majority(votes)) {
            return;
        }
        if (ask.dry()) {
            r.term = ask.term();
            r.votedFor = r.env.self();
            long term = r.term;
            r.store.vote(() -> {
                if (r.phase == Phase.STANDING && r.term == term) {
                    round(term, false, ask.leadershipTransferred());
                }
            });
        } else {
            r.become(Phase.OWNING, "elected");
            r.owner = r.env.self();
            r.leading.begun();
        }
    }

    Mono<Object> asked(String from, Messages.VoteAsk a) {
        boolean leaseRuns =
                r.now().compareTo(r.leaseHeardUntil) < 0 || (r.phase == Phase.OWNING && r.leading.leaseRuns());
        // whoever held the lease and stands now has given it up, or lost it with its former life
        boolean itsOwn = from.equals(r.votedFor) && r.phase != Phase.OWNING;
        boolean complete = a.lastTerm() > r.replicatedLog.lastTerm()
                || (a.lastTerm() == r.replicatedLog.lastTerm() && a.lastIndex() >= r.replicatedLog.lastIndex());
        boolean free = a.term() > r.term || (a.term() == r.term && (r.votedFor.equals(from)));
        if (!r.voter || (leaseRuns && !a.leadershipTransferred() && !itsOwn) || !complete || !free) {
            return Mono.just(new Messages.VoteReply(r.term, false, r.identity));
        }
        if (a.dry()) {
            return Mono.just(new Messages.VoteReply(r.term, true, r.identity));
        }
        if (a.term() > r.term) {
            r.term = a.term();
            r.owner = "";
            r.votedFor = from;
            if (r.phase == Phase.OWNING || r.phase == Phase.STANDING) {
                r.become(Phase.FOLLOWING, "voted for " + from);
            }
        }
        standAt = r.now().plus(r.env.timing().lease());
        long term = r.term;
        Sinks.One<Object> out = Sinks.one();
        r.store.vote(() -> r.shard.leave(() -> out.tryEmitValue(new Messages.VoteReply(term, true, r.identity))));
        return out.asMono();
    }

    /** The owner has given up its lease in our favour. */
    Mono<Object> told(String from, Messages.Stand s) {
        boolean ready = r.phase == Phase.FOLLOWING && r.voter && s.term() == r.term && from.equals(r.owner);
        if (ready) {
            stand(true);
        }
        return Mono.just(new Messages.Ok(ready));
    }
}

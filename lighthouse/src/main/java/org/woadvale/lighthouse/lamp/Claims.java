package org.woadvale.lighthouse.lamp;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.foundation.keeper.Env;
import org.woadvale.foundation.keeper.Pace;
import org.woadvale.foundation.keeper.Phase;
import org.woadvale.foundation.keeper.Replica;
import org.woadvale.foundation.lantern.Shard;
import org.woadvale.foundation.watch.Asks;
import org.woadvale.foundation.watch.Duty;
import org.woadvale.foundation.watch.Seat;
import org.woadvale.foundation.watch.ServiceView;

import reactor.core.publisher.Mono;

/** Renewals of one part, in its owner's memory; a new owner grants every claim a whole time anew. design 6.3 */
final class Claims {
    private static final Logger LOG = LogManager.getLogger("watch");
    private final Replica replica;
    private final LampMachine machine;
    private final Env env;
    private final Shard shard = new Shard();
    private final Map<String, Duration> heard = new HashMap<>();
    /** Terms of duties that are being given to the next: a renewal that comes meanwhile is too late. */
    private final Map<String, Long> given = new HashMap<>();
    private Duration ownerSince = Duration.ZERO;
    private long ownerTerm;

    Claims(Replica replica, LampMachine machine, Env env) {
        this.replica = replica;
        this.machine = machine;
        this.env = env;
    }

    private Duration now() {
        return env.times().mono();
    }

    private boolean lapsed(String key) {
        return shard.get(() -> {
            noteTerm();
            Duration last = heard.getOrDefault(key, ownerSince);
            return now().minus(last).compareTo(Pace.usual().claim()) > 0;
        });
    }

    private void noteTerm() {
        long t = replica.term();
        if (t != ownerTerm) {
            ownerTerm = t;
            ownerSince = now();
            heard.clear();
            given.clear();
        }
    }

    private void hear(String key) {
        shard.run(() -> {
            noteTerm();
            heard.put(key, now());
        });
    }

    private <T> Mono<T> owned(Function<Long, Mono<T>> then) {
        return replica.read(i -> i).flatMap(then);
    }

    Mono<Asks.Done> claim(Asks.ClaimAsk a) {
        return owned(i -> {
            hear(a.service() + "|" + a.node());
            Seat known = replica.look(x -> machine.service(a.service())).seats().get(a.node());
            if (a.seat().equals(known)) {
                return Mono.just(new Asks.Done(true));
            }
            LOG.info("watch: {} joins {}.", a.node(), a.service());
            return replica.propose(new Asks.PutSeat(a.service(), a.node(), a.seat()), Asks.Done.class);
        });
    }

    Mono<Asks.Done> leave(Asks.LeaveAsk a) {
        return owned(i -> Optional.ofNullable(replica.look(x -> machine.service(a.service())).seats().get(a.node()))
            .map(s -> replica.propose(new Asks.DropSeat(a.service(), a.node(), s.incarnation()), Asks.Done.class))
            .orElse(Mono.just(new Asks.Done(true))));
    }

    Mono<Asks.DutyReply> duty(Asks.DutyAsk a) {
        return owned(i -> {
            Duty d = replica.look(x -> machine.service(a.service())).duty();
            String key = "duty|" + a.service();
            boolean goes = shard.get(() -> given.getOrDefault(key, 0L) == a.term());
            if (d.holder().equals(a.node()) && d.term() == a.term() && !goes) {
                hear(key);
                // the renewal counts only while the part is ours: design 6.3
                return replica.mayAct() ? Mono.just(new Asks.DutyReply(true, d))
                    : Mono.just(new Asks.DutyReply(false, d));
            }
            // design 8.4: a holder that knows of no term has restarted, so nobody grants in its old term any more
            boolean restarted = d.holder().equals(a.node()) && a.term() == 0;
            boolean lapsed = !d.vacant() && lapsed(key);
            if (!d.vacant() && !restarted && !lapsed) {
                return Mono.just(new Asks.DutyReply(false, d));
            }
            shard.run(() -> given.put(key, d.term()));
            return replica.propose(new Asks.TakeDuty(a.service(), a.node(), d.term(), lapsed), Asks.DutyReply.class)
                .doOnNext(r -> {
                    if (r.yours()) {
                        hear(key);
                        LOG.info("watch: {} takes {} in term {}.", a.node(), a.service(), r.duty().term());
                    }
                });
        });
    }

    Mono<Asks.Done> release(Asks.DutyRelease r) {
        return owned(i -> replica.propose(new Asks.ReleaseDuty(r.service(), r.node(), r.term(), r.level()),
            Asks.Done.class));
    }

    /** Members whose claim has lapsed are members no more. */
    void reap() {
        if (replica.phase() != Phase.OWNING || !replica.mayAct()) {
            return;
        }
        for (ServiceView v : replica.look(i -> machine.services()).values()) {
            v.seats().forEach((node, seat) -> {
                if (lapsed(v.service() + "|" + node)) {
                    LOG.info("watch: the claim of {} in {} lapsed.", node, v.service());
                    replica.propose(new Asks.DropSeat(v.service(), node, seat.incarnation()), Asks.Done.class)
                        .subscribe(d -> { }, e -> { });
                }
            });
        }
    }
}

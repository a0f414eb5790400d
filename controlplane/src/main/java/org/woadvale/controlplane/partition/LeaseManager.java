package org.woadvale.controlplane.partition;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.LeaderDuty;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.replication.Env;
import org.woadvale.common.replication.Phase;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.runtime.LockedShard;
import reactor.core.publisher.Mono;

/** Renewals of one part, in its owner's memory; a new owner grants every lease a whole time anew. design 6.3 */
final class LeaseManager {
    private static final Logger LOG = LogManager.getLogger("watch");
    private final Replica replica;
    private final ControlStateMachine machine;
    private final Env env;
    private final LockedShard shard = new LockedShard();
    private final Map<String, Duration> heard = new HashMap<>();
    /** Terms of duties that are being given to the next: a renewal that comes meanwhile is too late. */
    private final Map<String, Long> given = new HashMap<>();

    private Duration ownerSince = Duration.ZERO;
    private long ownerTerm;

    LeaseManager(Replica replica, ControlStateMachine machine, Env env) {
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
            return now().minus(last).compareTo(ReplicationTiming.usual().lease()) > 0;
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

    Mono<ControlMessages.Done> lease(ControlMessages.LeaseAsk a) {
        return owned(i -> {
            hear(a.service() + "|" + a.node());
            MemberLease known =
                    replica.look(x -> machine.service(a.service())).members().get(a.node());
            if (a.memberLease().equals(known)) {
                return Mono.just(new ControlMessages.Done(true));
            }
            LOG.info("watch: {} joins {}.", a.node(), a.service());
            return replica.propose(
                    new ControlMessages.PutMember(a.service(), a.node(), a.memberLease()), ControlMessages.Done.class);
        });
    }

    Mono<ControlMessages.Done> leave(ControlMessages.LeaveAsk a) {
        return owned(i -> Optional.ofNullable(replica.look(x -> machine.service(a.service()))
                        .members()
                        .get(a.node()))
                .map(s -> replica.propose(
                        new ControlMessages.DropMember(a.service(), a.node(), s.incarnation()),
                        ControlMessages.Done.class))
                .orElse(Mono.just(new ControlMessages.Done(true))));
    }

    Mono<ControlMessages.DutyReply> duty(ControlMessages.DutyAsk a) {
        return owned(i -> {
            LeaderDuty d = replica.look(x -> machine.service(a.service())).duty();
            String key = "duty|" + a.service();
            boolean goes = shard.get(() -> given.getOrDefault(key, 0L) == a.term());
            if (d.holder().equals(a.node()) && d.term() == a.term() && !goes) {
                hear(key);
                // the renewal counts only while the part is ours: design 6.3
                return replica.mayAct()
                        ? Mono.just(new ControlMessages.DutyReply(true, d))
                        : Mono.just(new ControlMessages.DutyReply(false, d));
            }
            if (a.term() != 0) {
                return Mono.just(new ControlMessages.DutyReply(false, d));
            }
            boolean givenAway = shard.get(() -> given.getOrDefault(key, 0L) == d.term());
            if (!givenAway && isRepeat(a, d)) {
                hear(key);
                return Mono.just(new ControlMessages.DutyReply(replica.mayAct(), d));
            }
            // design 8.4: a holder that knows of no term has restarted, so nobody grants in its old term any more
            boolean restarted = d.holder().equals(a.node());
            boolean lapsed = !d.vacant() && lapsed(key);
            if (!d.vacant() && !restarted && !lapsed) {
                return Mono.just(new ControlMessages.DutyReply(false, d));
            }
            shard.run(() -> given.put(key, d.term()));
            return replica.propose(
                            new ControlMessages.TakeDuty(a.service(), a.node(), d.term(), lapsed, a.requestId()),
                            ControlMessages.DutyReply.class)
                    .doOnNext(r -> {
                        if (r.yours()) {
                            hear(key);
                            LOG.info(
                                    "watch: {} takes {} in term {}.",
                                    a.node(),
                                    a.service(),
                                    r.duty().term());
                        }
                    });
        });
    }

    /** The ask is a copy of the one that took the duty as it stands. design 6.11 */
    private boolean isRepeat(ControlMessages.DutyAsk ask, LeaderDuty duty) {
        return duty.holder().equals(ask.node())
                && replica.look(i -> machine.appliedRequests().dutyTerm(ask.requestId())) == duty.term();
    }

    Mono<ControlMessages.Done> release(ControlMessages.DutyRelease r) {
        return owned(i -> replica.propose(
                new ControlMessages.ReleaseDuty(r.service(), r.node(), r.term(), r.level()),
                ControlMessages.Done.class));
    }

    /** Members whose lease has lapsed are members no more. */
    void reap() {
        if (replica.phase() != Phase.OWNING || !replica.mayAct()) {
            return;
        }
        for (ServiceView v : replica.look(i -> machine.services()).values()) {
            v.members().forEach((node, memberLease) -> {
                if (lapsed(v.service() + "|" + node)) {
                    LOG.info("watch: the claim of {} in {} lapsed.", node, v.service());
                    replica.propose(
                                    new ControlMessages.DropMember(v.service(), node, memberLease.incarnation()),
                                    ControlMessages.Done.class)
                            .subscribe(d -> {}, e -> {});
                }
            });
        }
    }
}

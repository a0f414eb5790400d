package org.woadvale.controlplane.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.membership.SingletonLease;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.replication.Role;
import org.woadvale.common.runtime.LockedShard;
import org.woadvale.controlplane.state.ControlStateMachine;
import reactor.core.publisher.Mono;

/** Renewals of one part, in its owner's memory; a new owner grants every lease a whole time anew. design 6.3 */
public final class LeaseManager {
    private static final Logger LOG = LogManager.getLogger("watch");
    private final Replica replica;
    private final ControlStateMachine stateMachine;
    private final NodeEnvironment env;
    private final LockedShard shard = new LockedShard();
    private final Map<String, Duration> lastHeartbeat = new HashMap<>();
    /** Terms of duties that are being given to the next: a renewal that comes meanwhile is too late. */
    private final Map<String, Long> grantedSingletons = new HashMap<>();

    private Duration leaderSince = Duration.ZERO;
    private long leaderTerm;

    public LeaseManager(Replica replica, ControlStateMachine machine, NodeEnvironment env) {
        this.replica = replica;
        this.stateMachine = machine;
        this.env = env;
    }

    private Duration now() {
        return env.clock().monotonicTime();
    }

    private boolean lapsed(String key) {
        return shard.get(() -> {
            onTermSeen();
            Duration last = lastHeartbeat.getOrDefault(key, leaderSince);
            return now().minus(last).compareTo(ReplicationTiming.defaults().lease()) > 0;
        });
    }

    private void onTermSeen() {
        long t = replica.term();
        if (t != leaderTerm) {
            leaderTerm = t;
            leaderSince = now();
            lastHeartbeat.clear();
            grantedSingletons.clear();
        }
    }

    private void noteHeartbeat(String key) {
        shard.run(() -> {
            onTermSeen();
            lastHeartbeat.put(key, now());
        });
    }

    private <T> Mono<T> ifLeader(Function<Long, Mono<T>> then) {
        return replica.read(i -> i).flatMap(then);
    }

    public Mono<ControlMessages.UpdateResult> lease(ControlMessages.RenewLeaseRequest a) {
        return ifLeader(i -> {
            noteHeartbeat(a.service() + "|" + a.node());
            MemberLease known = replica.look(x -> stateMachine.service(a.service()))
                    .members()
                    .get(a.node());
            if (a.memberLease().equals(known)) {
                return Mono.just(new ControlMessages.UpdateResult(true));
            }
            LOG.info("watch: {} joins {}.", a.node(), a.service());
            return replica.propose(
                    new ControlMessages.PutMember(a.service(), a.node(), a.memberLease()),
                    ControlMessages.UpdateResult.class);
        });
    }

    public Mono<ControlMessages.UpdateResult> leave(ControlMessages.LeaveRequest a) {
        return ifLeader(i -> Optional.ofNullable(replica.look(x -> stateMachine.service(a.service()))
                        .members()
                        .get(a.node()))
                .map(s -> replica.propose(
                        new ControlMessages.DropMember(a.service(), a.node(), s.incarnation()),
                        ControlMessages.UpdateResult.class))
                .orElse(Mono.just(new ControlMessages.UpdateResult(true))));
    }

    public Mono<ControlMessages.SingletonLeaseResponse> acquireSingleton(ControlMessages.SingletonLeaseRequest a) {
        return ifLeader(i -> {
            SingletonLease d =
                    replica.look(x -> stateMachine.service(a.service())).singleton();
            String key = "duty|" + a.service();
            boolean goes = shard.get(() -> grantedSingletons.getOrDefault(key, 0L) == a.term());
            if (d.owner().equals(a.node()) && d.term() == a.term() && !goes) {
                noteHeartbeat(key);
                // the renewal counts only while the part is ours: design 6.3
                return replica.isActiveLeader()
                        ? Mono.just(new ControlMessages.SingletonLeaseResponse(true, d))
                        : Mono.just(new ControlMessages.SingletonLeaseResponse(false, d));
            }
            if (a.term() != 0) {
                return Mono.just(new ControlMessages.SingletonLeaseResponse(false, d));
            }
            boolean givenAway = shard.get(() -> grantedSingletons.getOrDefault(key, 0L) == d.term());
            if (!givenAway && isRepeat(a, d)) {
                noteHeartbeat(key);
                return Mono.just(new ControlMessages.SingletonLeaseResponse(replica.isActiveLeader(), d));
            }
            // design 8.4: a holder that knows of no term has restarted, so nobody grants in its old term any more
            boolean restarted = d.owner().equals(a.node());
            boolean lapsed = !d.vacant() && lapsed(key);
            if (!d.vacant() && !restarted && !lapsed) {
                return Mono.just(new ControlMessages.SingletonLeaseResponse(false, d));
            }
            shard.run(() -> grantedSingletons.put(key, d.term()));
            return replica.propose(
                            new ControlMessages.AcquireSingleton(
                                    a.service(), a.node(), d.term(), lapsed, a.requestId()),
                            ControlMessages.SingletonLeaseResponse.class)
                    .doOnNext(r -> {
                        if (r.granted()) {
                            noteHeartbeat(key);
                            LOG.info(
                                    "watch: {} takes {} in term {}.",
                                    a.node(),
                                    a.service(),
                                    r.lease().term());
                        }
                    });
        });
    }

    /** The ask is a copy of the one that took the duty as it stands. design 6.11 */
    private boolean isRepeat(ControlMessages.SingletonLeaseRequest ask, SingletonLease duty) {
        return duty.owner().equals(ask.node())
                && replica.look(i -> stateMachine.appliedRequests().singletonTerm(ask.requestId())) == duty.term();
    }

    public Mono<ControlMessages.UpdateResult> release(ControlMessages.ReleaseSingletonRequest r) {
        return ifLeader(i -> replica.propose(
                new ControlMessages.ReleaseSingleton(r.service(), r.node(), r.term(), r.level()),
                ControlMessages.UpdateResult.class));
    }

    /** Members whose lease has lapsed are members no more. */
    public void expireLapsed() {
        if (replica.role() != Role.LEADER || !replica.isActiveLeader()) {
            return;
        }
        for (ServiceView v : replica.look(i -> stateMachine.services()).values()) {
            v.members().forEach((node, memberLease) -> {
                if (lapsed(v.service() + "|" + node)) {
                    LOG.info("watch: the claim of {} in {} lapsed.", node, v.service());
                    replica.propose(
                                    new ControlMessages.DropMember(v.service(), node, memberLease.incarnation()),
                                    ControlMessages.UpdateResult.class)
                            .subscribe(d -> {}, e -> {});
                }
            });
        }
    }
}

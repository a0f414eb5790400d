package org.woadvale.controlplane.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
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
    private static final Logger LOG = LogManager.getLogger(LeaseManager.class);
    private final Replica<ControlCommand, ControlResult> replica;
    private final ControlStateMachine stateMachine;
    private final NodeEnvironment environment;
    private final LockedShard shard = new LockedShard();
    private final Map<String, Duration> lastHeartbeat = new HashMap<>();
    /** Terms of duties that are being given to the next: a renewal that comes meanwhile is too late. */
    private final Map<String, Long> grantedSingletons = new HashMap<>();

    private Duration leaderSince = Duration.ZERO;
    private long leaderTerm;

    public LeaseManager(
            Replica<ControlCommand, ControlResult> replica, ControlStateMachine machine, NodeEnvironment environment) {
        this.replica = replica;
        this.stateMachine = machine;
        this.environment = environment;
    }

    private Duration now() {
        return environment.clock().monotonicTime();
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

    public Mono<ControlMessages.UpdateResult> lease(ControlMessages.RenewLeaseRequest request) {
        return ifLeader(i -> {
            noteHeartbeat(request.service() + "|" + request.node());
            MemberLease known = replica.inspect(x -> stateMachine.service(request.service()))
                    .members()
                    .get(request.node());
            if (request.memberLease().equals(known)) {
                return Mono.just(new ControlMessages.UpdateResult(true));
            }
            LOG.info("{} joins {}.", request.node(), request.service());
            return replica.propose(
                    new ControlMessages.PutMember(request.service(), request.node(), request.memberLease()),
                    ControlMessages.UpdateResult.class);
        });
    }

    public Mono<ControlMessages.UpdateResult> leave(ControlMessages.LeaveRequest request) {
        return ifLeader(i -> Optional.ofNullable(replica.inspect(x -> stateMachine.service(request.service()))
                        .members()
                        .get(request.node()))
                .map(lease -> replica.propose(
                        new ControlMessages.DropMember(request.service(), request.node(), lease.incarnation()),
                        ControlMessages.UpdateResult.class))
                .orElse(Mono.just(new ControlMessages.UpdateResult(true))));
    }

    public Mono<ControlMessages.SingletonLeaseResponse> acquireSingleton(
            ControlMessages.SingletonLeaseRequest request) {
        return ifLeader(i -> {
            SingletonLease singleton = replica.inspect(x -> stateMachine.service(request.service()))
                    .singleton();
            String key = "duty|" + request.service();
            boolean goes = shard.get(() -> grantedSingletons.getOrDefault(key, 0L) == request.term());
            if (singleton.owner().equals(request.node()) && singleton.term() == request.term() && !goes) {
                noteHeartbeat(key);
                // the renewal counts only while the part is ours: design 6.3
                return replica.isActiveLeader()
                        ? Mono.just(new ControlMessages.SingletonLeaseResponse(true, singleton))
                        : Mono.just(new ControlMessages.SingletonLeaseResponse(false, singleton));
            }
            if (request.term() != 0) {
                return Mono.just(new ControlMessages.SingletonLeaseResponse(false, singleton));
            }
            boolean givenAway = shard.get(() -> grantedSingletons.getOrDefault(key, 0L) == singleton.term());
            if (!givenAway && isRepeat(request, singleton)) {
                noteHeartbeat(key);
                return Mono.just(new ControlMessages.SingletonLeaseResponse(replica.isActiveLeader(), singleton));
            }
            // design 8.4: a holder that knows of no term has restarted, so nobody grants in its old term any more
            boolean restarted = singleton.owner().equals(request.node());
            boolean lapsed = !singleton.vacant() && lapsed(key);
            if (!singleton.vacant() && !restarted && !lapsed) {
                return Mono.just(new ControlMessages.SingletonLeaseResponse(false, singleton));
            }
            shard.run(() -> grantedSingletons.put(key, singleton.term()));
            return replica.propose(
                            new ControlMessages.AcquireSingleton(
                                    request.service(), request.node(), singleton.term(), lapsed, request.requestId()),
                            ControlMessages.SingletonLeaseResponse.class)
                    .doOnNext(response -> {
                        if (response.granted()) {
                            noteHeartbeat(key);
                            LOG.info(
                                    "{} acquires {} in term {}.",
                                    request.node(),
                                    request.service(),
                                    response.lease().term());
                        }
                    });
        });
    }

    /** The ask is a copy of the one that took the duty as it stands. design 6.11 */
    private boolean isRepeat(ControlMessages.SingletonLeaseRequest ask, SingletonLease duty) {
        return duty.owner().equals(ask.node())
                && replica.inspect(i -> stateMachine.appliedRequests().singletonTerm(ask.requestId())) == duty.term();
    }

    public Mono<ControlMessages.UpdateResult> release(ControlMessages.ReleaseSingletonRequest request) {
        return ifLeader(i -> replica.propose(
                new ControlMessages.ReleaseSingleton(
                        request.service(), request.node(), request.term(), request.level()),
                ControlMessages.UpdateResult.class));
    }

    /** Members whose lease has lapsed are members no more. */
    public void expireLapsed() {
        if (replica.role() != Role.LEADER || !replica.isActiveLeader()) {
            return;
        }
        for (ServiceView view : replica.inspect(i -> stateMachine.services()).values()) {
            view.members().forEach((node, memberLease) -> {
                if (lapsed(view.service() + "|" + node)) {
                    LOG.info("The lease of {} in {} expired.", node, view.service());
                    replica.propose(
                                    new ControlMessages.DropMember(view.service(), node, memberLease.incarnation()),
                                    ControlMessages.UpdateResult.class)
                            .subscribe(result -> {}, e -> {});
                }
            });
        }
    }
}

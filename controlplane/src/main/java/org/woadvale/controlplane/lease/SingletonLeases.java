package org.woadvale.controlplane.lease;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.ControlMessages.SingletonLeaseRequest;
import org.woadvale.common.membership.ControlMessages.SingletonLeaseResponse;
import org.woadvale.common.membership.ControlMessages.UpdateResult;
import org.woadvale.common.membership.SingletonLease;
import org.woadvale.common.replication.Replica;
import org.woadvale.controlplane.state.ControlStateMachine;
import reactor.core.publisher.Mono;

/** Leases that at most one node holds at a time, each with a term that increases with every new owner. */
final class SingletonLeases {
    private static final Logger LOG = LogManager.getLogger(SingletonLeases.class);

    private final Replica<ControlCommand, ControlResult> replica;
    private final ControlStateMachine stateMachine;
    private final Heartbeats heartbeats;

    SingletonLeases(
            Replica<ControlCommand, ControlResult> replica, ControlStateMachine stateMachine, Heartbeats heartbeats) {
        this.replica = replica;
        this.stateMachine = stateMachine;
        this.heartbeats = heartbeats;
    }

    private static String key(String service) {
        return "duty|" + service;
    }

    /** Renews the lease in the term that the request names, or acquires it if the request names no term. */
    Mono<SingletonLeaseResponse> renewOrAcquire(SingletonLeaseRequest request) {
        return replica.read(index -> stateMachine.service(request.service()).singleton())
                .flatMap(current -> isRenewal(request, current) ? renew(request, current) : acquire(request, current));
    }

    private boolean isRenewal(SingletonLeaseRequest request, SingletonLease current) {
        return current.owner().equals(request.node())
                && current.term() == request.term()
                && !heartbeats.isReassigned(key(request.service()), request.term());
    }

    /** Renews the lease; granted only while this node still leads the partition. */
    private Mono<SingletonLeaseResponse> renew(SingletonLeaseRequest request, SingletonLease current) {
        heartbeats.recordRenewal(key(request.service()));
        return Mono.just(new SingletonLeaseResponse(replica.isActiveLeader(), current));
    }

    private Mono<SingletonLeaseResponse> acquire(SingletonLeaseRequest request, SingletonLease current) {
        if (request.term() != 0) {
            return Mono.just(new SingletonLeaseResponse(false, current));
        }
        String key = key(request.service());
        if (!heartbeats.isReassigned(key, current.term()) && isRepeat(request, current)) {
            return renew(request, current);
        }
        // an owner that asks without a term has restarted, so no process still acts in its previous term
        boolean restarted = current.owner().equals(request.node());
        boolean expired = !current.vacant() && heartbeats.isExpired(key);
        if (!current.vacant() && !restarted && !expired) {
            return Mono.just(new SingletonLeaseResponse(false, current));
        }
        heartbeats.markReassigned(key, current.term());
        ControlMessages.AcquireSingleton command = new ControlMessages.AcquireSingleton(
                request.service(), request.node(), current.term(), expired, request.requestId());
        return replica.propose(command, SingletonLeaseResponse.class)
                .doOnNext(response -> onAcquired(request, response));
    }

    private void onAcquired(SingletonLeaseRequest request, SingletonLeaseResponse response) {
        if (response.granted()) {
            heartbeats.recordRenewal(key(request.service()));
            LOG.info(
                    "{} acquires {} in term {}.",
                    request.node(),
                    request.service(),
                    response.lease().term());
        }
    }

    /** Whether the request is a duplicate of the one by which the current owner acquired the lease. */
    private boolean isRepeat(SingletonLeaseRequest request, SingletonLease current) {
        long acquiredTerm =
                replica.inspect(index -> stateMachine.appliedRequests().singletonTerm(request.requestId()));
        return current.owner().equals(request.node()) && acquiredTerm == current.term();
    }

    /** Releases the lease and passes on the remaining token level of its bucket. */
    Mono<UpdateResult> release(ControlMessages.ReleaseSingletonRequest request) {
        ControlMessages.ReleaseSingleton command = new ControlMessages.ReleaseSingleton(
                request.service(), request.node(), request.term(), request.level());
        return replica.read(index -> index).flatMap(index -> replica.propose(command, UpdateResult.class));
    }
}

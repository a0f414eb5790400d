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

/** Leases of which at most one node holds each, with a term that rises with each new owner. */
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

    /** Renews the lease in the term that the request names, or acquires it if the request names none. */
    Mono<SingletonLeaseResponse> renewOrAcquire(SingletonLeaseRequest request) {
        return replica.read(index -> stateMachine.service(request.service()).singleton())
                .flatMap(present -> isRenewal(request, present) ? renew(request, present) : acquire(request, present));
    }

    private boolean isRenewal(SingletonLeaseRequest request, SingletonLease present) {
        return present.owner().equals(request.node())
                && present.term() == request.term()
                && !heartbeats.isGivenAway(key(request.service()), request.term());
    }

    /** Counts only while this node still leads the partition. */
    private Mono<SingletonLeaseResponse> renew(SingletonLeaseRequest request, SingletonLease present) {
        heartbeats.note(key(request.service()));
        return Mono.just(new SingletonLeaseResponse(replica.isActiveLeader(), present));
    }

    private Mono<SingletonLeaseResponse> acquire(SingletonLeaseRequest request, SingletonLease present) {
        if (request.term() != 0) {
            return Mono.just(new SingletonLeaseResponse(false, present));
        }
        String key = key(request.service());
        if (!heartbeats.isGivenAway(key, present.term()) && isRepeat(request, present)) {
            return renew(request, present);
        }
        // an owner that knows of no term has restarted, so nobody acts in its old term any more
        boolean restarted = present.owner().equals(request.node());
        boolean expired = !present.vacant() && heartbeats.isExpired(key);
        if (!present.vacant() && !restarted && !expired) {
            return Mono.just(new SingletonLeaseResponse(false, present));
        }
        heartbeats.giveAway(key, present.term());
        ControlMessages.AcquireSingleton command = new ControlMessages.AcquireSingleton(
                request.service(), request.node(), present.term(), expired, request.requestId());
        return replica.propose(command, SingletonLeaseResponse.class)
                .doOnNext(response -> onAcquired(request, response));
    }

    private void onAcquired(SingletonLeaseRequest request, SingletonLeaseResponse response) {
        if (response.granted()) {
            heartbeats.note(key(request.service()));
            LOG.info(
                    "{} acquires {} in term {}.",
                    request.node(),
                    request.service(),
                    response.lease().term());
        }
    }

    /** The request is a copy of the one by which the present owner acquired the lease. */
    private boolean isRepeat(SingletonLeaseRequest request, SingletonLease present) {
        long acquiredTerm =
                replica.inspect(index -> stateMachine.appliedRequests().singletonTerm(request.requestId()));
        return present.owner().equals(request.node()) && acquiredTerm == present.term();
    }

    /** The owner gives the lease up, with what is left of its tokens. */
    Mono<UpdateResult> release(ControlMessages.ReleaseSingletonRequest request) {
        ControlMessages.ReleaseSingleton command = new ControlMessages.ReleaseSingleton(
                request.service(), request.node(), request.term(), request.level());
        return replica.read(index -> index).flatMap(index -> replica.propose(command, UpdateResult.class));
    }
}

package org.woadvale.controlplane.lease;

import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.ControlMessages.SingletonLeaseResponse;
import org.woadvale.common.membership.ControlMessages.UpdateResult;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.controlplane.state.ControlStateMachine;
import reactor.core.publisher.Mono;

/**
 * The leases of one control partition, on its leader. Renewals are noted in memory; who holds a lease is committed.
 * Every request fails with NOT_OWNER on a replica that does not lead.
 */
public final class LeaseManager {
    private final MemberLeases members;
    private final SingletonLeases singletons;

    /** The leases of the partition that a replica is of. */
    public LeaseManager(
            Replica<ControlCommand, ControlResult> replica,
            ControlStateMachine stateMachine,
            NodeEnvironment environment) {
        Heartbeats heartbeats = new Heartbeats(replica, environment);
        this.members = new MemberLeases(replica, stateMachine, heartbeats);
        this.singletons = new SingletonLeases(replica, stateMachine, heartbeats);
    }

    /** A node renews its membership in a service, or joins it. */
    public Mono<UpdateResult> renew(ControlMessages.RenewLeaseRequest request) {
        return members.renew(request);
    }

    /** A node leaves a service in order. */
    public Mono<UpdateResult> leave(ControlMessages.LeaveRequest request) {
        return members.leave(request);
    }

    /** A node renews or acquires a singleton lease; the answer tells the lease as it stands, granted or not. */
    public Mono<SingletonLeaseResponse> renewOrAcquire(ControlMessages.SingletonLeaseRequest request) {
        return singletons.renewOrAcquire(request);
    }

    /** The owner of a singleton lease gives it up. */
    public Mono<UpdateResult> release(ControlMessages.ReleaseSingletonRequest request) {
        return singletons.release(request);
    }

    /** Called often: members whose lease has expired are dropped. */
    public void dropExpired() {
        members.dropExpired();
    }
}

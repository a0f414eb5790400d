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
 * Manages the leases of one control partition on its leader. Renewals are recorded in memory only; changes of ownership
 * are committed to the log. On a replica that is not the leader, every request fails with NOT_OWNER.
 */
public final class LeaseManager {
    private final MemberLeases members;
    private final SingletonLeases singletons;

    /** Creates the lease manager of the partition that the replica belongs to. */
    public LeaseManager(
            Replica<ControlCommand, ControlResult> replica,
            ControlStateMachine stateMachine,
            NodeEnvironment environment) {
        Heartbeats heartbeats = new Heartbeats(replica, environment);
        this.members = new MemberLeases(replica, stateMachine, heartbeats);
        this.singletons = new SingletonLeases(replica, stateMachine, heartbeats);
    }

    /** Renews a node's membership in a service, or adds the node to the service. */
    public Mono<UpdateResult> renew(ControlMessages.RenewLeaseRequest request) {
        return members.renew(request);
    }

    /** Removes a node from a service at its own request. */
    public Mono<UpdateResult> leave(ControlMessages.LeaveRequest request) {
        return members.leave(request);
    }

    /** Renews or acquires a singleton lease; the response carries the current lease whether or not it was granted. */
    public Mono<SingletonLeaseResponse> renewOrAcquire(ControlMessages.SingletonLeaseRequest request) {
        return singletons.renewOrAcquire(request);
    }

    /** Releases a singleton lease at its owner's request. */
    public Mono<UpdateResult> release(ControlMessages.ReleaseSingletonRequest request) {
        return singletons.release(request);
    }

    /** Drops the members whose lease has expired; called with every tick. */
    public void dropExpired() {
        members.dropExpired();
    }
}

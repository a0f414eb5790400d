package org.woadvale.controlplane.lease;

import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.ControlMessages.UpdateResult;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.Role;
import org.woadvale.controlplane.state.ControlStateMachine;
import reactor.core.publisher.Mono;

/** Leases that make nodes members of a service: renewed by the nodes, dropped by the leader once they expire. */
final class MemberLeases {
    private static final Logger LOG = LogManager.getLogger(MemberLeases.class);

    private final Replica<ControlCommand, ControlResult> replica;
    private final ControlStateMachine stateMachine;
    private final Heartbeats heartbeats;

    MemberLeases(
            Replica<ControlCommand, ControlResult> replica, ControlStateMachine stateMachine, Heartbeats heartbeats) {
        this.replica = replica;
        this.stateMachine = stateMachine;
        this.heartbeats = heartbeats;
    }

    private static String key(String service, String node) {
        return service + "|" + node;
    }

    private Optional<MemberLease> lease(String service, String node) {
        ServiceView view = replica.inspect(index -> stateMachine.service(service));
        return Optional.ofNullable(view.members().get(node));
    }

    /** A renewal that changes nothing is not written to the log. */
    Mono<UpdateResult> renew(ControlMessages.RenewLeaseRequest request) {
        return replica.read(index -> index).flatMap(index -> {
            heartbeats.recordRenewal(key(request.service(), request.node()));
            Optional<MemberLease> current = lease(request.service(), request.node());
            if (current.filter(request.memberLease()::equals).isPresent()) {
                return Mono.just(new UpdateResult(true));
            }
            LOG.info("{} joins {} or updates its lease.", request.node(), request.service());
            return replica.propose(
                    new ControlMessages.PutMember(request.service(), request.node(), request.memberLease()),
                    UpdateResult.class);
        });
    }

    /** Removes the node from the service; accepted also if it is not a member. */
    Mono<UpdateResult> leave(ControlMessages.LeaveRequest request) {
        return replica.read(index -> index)
                .flatMap(index -> lease(request.service(), request.node())
                        .map(lease -> drop(request.service(), request.node(), lease))
                        .orElse(Mono.just(new UpdateResult(true))));
    }

    private Mono<UpdateResult> drop(String service, String node, MemberLease lease) {
        return replica.propose(new ControlMessages.DropMember(service, node, lease.incarnation()), UpdateResult.class);
    }

    /** Drops the members whose lease has expired; called with every tick. */
    void dropExpired() {
        if (replica.role() != Role.LEADER || !replica.isActiveLeader()) {
            return;
        }
        for (ServiceView view :
                replica.inspect(index -> stateMachine.services()).values()) {
            view.members().forEach((node, lease) -> {
                if (heartbeats.isExpired(key(view.service(), node))) {
                    LOG.info("The lease of {} in {} expired.", node, view.service());
                    drop(view.service(), node, lease).subscribe(result -> {}, e -> {});
                }
            });
        }
    }
}

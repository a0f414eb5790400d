package org.woadvale.controlplane.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.woadvale.common.discovery.ViewCompression;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.Role;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.controlplane.lease.LeaseManager;
import org.woadvale.controlplane.membership.CoreMembership;
import org.woadvale.controlplane.membership.LeaderSightings;
import org.woadvale.controlplane.membership.MajorityContact;
import org.woadvale.controlplane.membership.RetryingCoreClient;
import org.woadvale.controlplane.placement.PlacementDriver;
import org.woadvale.controlplane.state.ControlStateMachine;
import org.woadvale.controlplane.state.ServiceViewQuery;
import reactor.core.publisher.Mono;

/** A control node: one replica of every control part, and what it answers as their owner. */
public final class ControlNode implements Component {
    private record ControlPartition(
            Replica<ControlCommand, ControlResult> replica, ControlStateMachine stateMachine, LeaseManager leases) {}

    private static final int HISTORY_BYTES = 512 << 10;

    private final NodeEnvironment environment;
    private final CoreClient core;
    private final Map<String, ControlPartition> partitions = new LinkedHashMap<>();
    private final LeaderSightings leaders = new LeaderSightings();
    private final RetryingCoreClient retryingClient;
    private final PlacementDriver placement;
    private final CoreMembership membership;
    private final ViewCompression compression = new ViewCompression();
    private final MajorityContact contact;
    private TimerHandle ticking = () -> {};
    private TimerHandle refreshing = () -> {};
    private volatile boolean draining;

    /** A control node that joins a running core is voting by the owners once {@code wantedCore} names it. */
    public ControlNode(NodeEnvironment environment, CoreClient core, List<String> wantedCore, String zone) {
        this.environment = environment;
        this.core = core;
        for (String p : ServiceNames.controlParts()) {
            ControlStateMachine stateMachine = new ControlStateMachine(
                    environment.codec(),
                    Math.min(HISTORY_BYTES, environment.wal().largestRecordBytes() / 4));
            Replica<ControlCommand, ControlResult> replica =
                    new Replica<>(p, rotated(wantedCore, p), stateMachine, environment);
            partitions.put(
                    p,
                    new ControlPartition(replica, stateMachine, new LeaseManager(replica, stateMachine, environment)));
        }
        ControlPartition c0 = partitions.get(ServiceNames.controlPart(ServiceNames.CORE));
        this.membership = new CoreMembership(environment, core, zone, c0.replica(), c0.stateMachine(), this::replicas);
        ControlPartition stores = partitions.get(ServiceNames.controlPart(ServiceNames.STORES));
        this.placement = new PlacementDriver(environment, stores.replica(), stores.stateMachine());
        this.contact = new MajorityContact(environment, core, c0.replica(), membership::answeredAt);
        this.retryingClient = new RetryingCoreClient(environment, core, contact::now);
    }

    /** Each part has another first control node, so owners are spread. */
    static List<String> rotated(List<String> core, String part) {
        List<String> sorted = new ArrayList<>(new TreeSet<>(core));
        Collections.rotate(sorted, Integer.parseInt(part.substring(1)));
        return sorted;
    }

    @Override
    public String name() {
        return "lamp";
    }

    public void route(RpcRouter router) {
        ReplicationMessages.route(router, id -> partition(id).map(ControlPartition::replica))
                .on(
                        ControlMessages.RenewLeaseRequest.class,
                        (f, request) -> partitionOf(request.service())
                                .flatMap(partition -> partition.leases().lease(request))
                                .doOnNext(done -> onLeaseRenewed(request.service())))
                .on(
                        ControlMessages.LeaveRequest.class,
                        (f, request) -> partitionOf(request.service())
                                .flatMap(partition -> partition.leases().leave(request)))
                .on(
                        ControlMessages.SingletonLeaseRequest.class,
                        (f, request) -> partitionOf(request.service())
                                .flatMap(partition -> partition.leases().acquireSingleton(request)))
                .on(
                        ControlMessages.ReleaseSingletonRequest.class,
                        (f, request) -> partitionOf(request.service())
                                .flatMap(partition -> partition.leases().release(request)))
                .on(
                        ControlMessages.ServiceViewRequest.class,
                        (f, request) -> changedViews(request).map(response -> compression.pack(request, response)))
                .on(ControlMessages.CoreMembersRequest.class, (f, request) -> Mono.just(core.membersResponse()))
                .on(ControlMessages.AnnounceStandbyRequest.class, (f, request) -> membership.onAnnouncement(request))
                .on(ControlMessages.LeaveCoreRequest.class, (f, request) -> membership.onLeaveRequest(request))
                .on(ControlMessages.PutCore.class, (f, put) -> change(ServiceNames.CORE, put))
                .on(ControlMessages.PutProcessor.class, (f, put) -> change(put.service(), put))
                .on(ControlMessages.DropProcessor.class, (f, drop) -> change(drop.service(), drop))
                .on(ControlMessages.PutProcessors.class, (f, put) -> change(put.service(), put));
    }

    /** The boot values changed while we run. */
    public void reseed(List<String> seeds) {
        core.reseed(seeds);
    }

    private void onLeaseRenewed(String service) {
        if (service.equals(ServiceNames.STORES)) {
            placement.onStoreHeartbeat();
        }
    }

    private Mono<ControlPartition> partition(String id) {
        return Mono.justOrEmpty(partitions.get(id))
                .switchIfEmpty(Mono.error(new NotFoundException("No control part " + id + ".")));
    }

    private Mono<ControlPartition> partitionOf(String service) {
        return partition(ServiceNames.controlPart(service));
    }

    private Mono<ControlMessages.UpdateResult> change(String service, ControlCommand command) {
        return partitionOf(service)
                .flatMap(partition -> partition.replica().propose(command, ControlMessages.UpdateResult.class));
    }

    /** Every service asked for is of one part; the age is nothing, since the lease was checked just now. */
    private Mono<ControlMessages.ServiceViewResponse> changedViews(ControlMessages.ServiceViewRequest ask) {
        String id = ServiceNames.controlPart(
                ask.knownVersions().keySet().stream().findFirst().orElse(ServiceNames.CONFIGURATION));
        return partition(id)
                .flatMap(partition -> partition
                        .replica()
                        .read(i -> ServiceViewQuery.changed(
                                id,
                                partition.stateMachine(),
                                ask,
                                core.members().epoch())));
    }

    public List<String> controlNodes() {
        TreeSet<String> all = new TreeSet<>();
        partitions
                .values()
                .forEach(partition -> all.addAll(partition.replica().members().keySet()));
        return all.isEmpty() ? core.controlNodes() : new ArrayList<>(all);
    }

    /** The newest committed list of the core's members that is known here. */
    public CoreMembers members() {
        return core.members();
    }

    @Override
    public void start() throws ServiceException {
        for (Map.Entry<String, ControlPartition> entry : partitions.entrySet()) {
            entry.getValue().replica().start(environment.wal().recovered().getOrDefault(entry.getKey(), List.of()));
        }
        ticking = environment.timers().every(Duration.ofMillis(250), this::onTick);
        refreshing = environment.timers().every(Duration.ofSeconds(2), core::refreshMembers);
        membership.onTick();
    }

    private List<Replica<ControlCommand, ControlResult>> replicas() {
        return partitions.values().stream().map(ControlPartition::replica).toList();
    }

    /** Who the members of the core should be, as far as part c0 is known here. */
    private void followCoreMembers() {
        CoreMembers wanted = membership.committed();
        core.adopt(wanted);
        if (!wanted.members().isEmpty()) {
            partitions.forEach((id, partition) -> partition.replica().setDesiredMembers(rotated(wanted.members(), id)));
        }
    }

    private void onTick() {
        membership.onTick();
        followCoreMembers();
        observeLeaders();
        partitions.values().forEach(partition -> partition.leases().expireLapsed());
        placement.onTick();
        if (draining) {
            transferLeadership();
        } else {
            balanceLeaders();
        }
    }

    /** The first control node of a part's list owns it once it is back and up to date; one move at a look. */
    private void balanceLeaders() {
        for (Map.Entry<String, ControlPartition> entry : partitions.entrySet()) {
            Replica<ControlCommand, ControlResult> replica = entry.getValue().replica();
            String first = rotated(core.controlNodes(), entry.getKey()).get(0);
            if (replica.successor().filter(first::equals).isPresent() && replica.transferLeadership(first)) {
                return;
            }
        }
    }

    /** Owners hand over before they stop. */
    public boolean drain() {
        draining = true;
        partitions.values().forEach(partition -> partition.replica().declineLeadership());
        transferLeadership();
        boolean exchanging = membership.leave();
        return !exchanging
                && partitions.values().stream()
                        .noneMatch(partition -> partition.replica().role() == Role.LEADER);
    }

    private void transferLeadership() {
        partitions
                .values()
                .forEach(partition ->
                        partition.replica().successor().ifPresent(partition.replica()::transferLeadership));
    }

    @Override
    public void stop() {
        ticking.cancel();
        refreshing.cancel();
        partitions.values().forEach(partition -> partition.replica().stop());
    }

    private void observeLeaders() {
        partitions.forEach((id, partition) ->
                leaders.observe(id, partition.replica(), environment.clock().monotonicTime()));
    }

    /** A part that changes hands in order is without an owner for a moment; that is no reason to turn operators away. */
    public boolean ready() {
        observeLeaders();
        return contact.ready(
                leaders.allRecent(partitions.keySet(), environment.clock().monotonicTime()));
    }

    /** An operator's request, repeated while the part has no leader. */
    public <T> Mono<T> call(String part, RepeatableRequest request, Class<T> type) {
        return retryingClient.ask(part, request, type);
    }

    public Replica<ControlCommand, ControlResult> replica(String part) {
        return partitions.get(part).replica();
    }

    public ControlStateMachine machine(String part) {
        return partitions.get(part).stateMachine();
    }

    public Map<String, Object> status() {
        Map<String, Object> out = new LinkedHashMap<>();
        partitions.forEach((id, partition) -> out.put(
                id,
                Map.of(
                        "phase",
                        partition.replica().role(),
                        "term",
                        partition.replica().term(),
                        "owner",
                        partition.replica().leaderId().orElse(""),
                        "group",
                        partition.replica().members().keySet())));
        return out;
    }
}

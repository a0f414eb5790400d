package org.woadvale.controlplane.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.woadvale.common.discovery.ViewCompression;
import org.woadvale.common.membership.ControlMessages;
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
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
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
    private record ControlPartition(Replica replica, ControlStateMachine stateMachine, LeaseManager leases) {}

    private static final int HISTORY_BYTES = 512 << 10;

    private final NodeEnvironment env;
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
    public ControlNode(NodeEnvironment env, CoreClient core, List<String> wantedCore, String zone) {
        this.env = env;
        this.core = core;
        for (String p : ServiceNames.controlParts()) {
            ControlStateMachine m = new ControlStateMachine(
                    env.codec(), Math.min(HISTORY_BYTES, env.wal().largestRecordBytes() / 4));
            Replica r = new Replica(p, rotated(wantedCore, p), m, env);
            partitions.put(p, new ControlPartition(r, m, new LeaseManager(r, m, env)));
        }
        ControlPartition c0 = partitions.get(ServiceNames.controlPart(ServiceNames.CORE));
        this.membership = new CoreMembership(env, core, zone, c0.replica(), c0.stateMachine(), this::replicas);
        ControlPartition stores = partitions.get(ServiceNames.controlPart(ServiceNames.STORES));
        this.placement = new PlacementDriver(env, stores.replica(), stores.stateMachine());
        this.contact = new MajorityContact(env, core, c0.replica(), membership::answeredAt);
        this.retryingClient = new RetryingCoreClient(env, core, contact::now);
    }

    /** Each part has another first control node, so owners are spread. */
    static List<String> rotated(List<String> core, String part) {
        List<String> sorted = new ArrayList<>(new TreeSet<>(core));
        java.util.Collections.rotate(sorted, Integer.parseInt(part.substring(1)));
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
                        (f, a) -> partitionOf(a.service())
                                .flatMap(p -> p.leases().lease(a))
                                .doOnNext(done -> onLeaseRenewed(a.service())))
                .on(
                        ControlMessages.LeaveRequest.class,
                        (f, a) ->
                                partitionOf(a.service()).flatMap(p -> p.leases().leave(a)))
                .on(
                        ControlMessages.SingletonLeaseRequest.class,
                        (f, a) ->
                                partitionOf(a.service()).flatMap(p -> p.leases().acquireSingleton(a)))
                .on(
                        ControlMessages.ReleaseSingletonRequest.class,
                        (f, a) ->
                                partitionOf(a.service()).flatMap(p -> p.leases().release(a)))
                .on(
                        ControlMessages.ServiceViewRequest.class,
                        (f, a) -> changedViews(a).map(r -> compression.pack(a, r)))
                .on(ControlMessages.CoreMembersRequest.class, (f, a) -> Mono.just(core.membersResponse()))
                .on(ControlMessages.AnnounceStandbyRequest.class, (f, a) -> membership.onAnnouncement(a))
                .on(ControlMessages.LeaveCoreRequest.class, (f, a) -> membership.onLeaveRequest(a))
                .on(ControlMessages.PutCore.class, (f, a) -> change(ServiceNames.CORE, a))
                .on(ControlMessages.PutProcessor.class, (f, a) -> change(a.service(), a))
                .on(ControlMessages.DropProcessor.class, (f, a) -> change(a.service(), a))
                .on(ControlMessages.PutProcessors.class, (f, a) -> change(a.service(), a));
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
                .switchIfEmpty(Mono.error(new ServiceException(ErrorKind.NOT_FOUND, "No control part " + id + ".")));
    }

    private Mono<ControlPartition> partitionOf(String service) {
        return partition(ServiceNames.controlPart(service));
    }

    private Mono<ControlMessages.UpdateResult> change(String service, Object command) {
        return partitionOf(service).flatMap(p -> p.replica().propose(command, ControlMessages.UpdateResult.class));
    }

    /** Every service asked for is of one part; the age is nothing, since the lease was checked just now. */
    private Mono<ControlMessages.ServiceViewResponse> changedViews(ControlMessages.ServiceViewRequest ask) {
        String id = ServiceNames.controlPart(
                ask.knownVersions().keySet().stream().findFirst().orElse(ServiceNames.CONFIGURATION));
        return partition(id)
                .flatMap(p -> p.replica()
                        .read(i -> ServiceViewQuery.changed(
                                id, p.stateMachine(), ask, core.members().epoch())));
    }

    public List<String> controlNodes() {
        TreeSet<String> all = new TreeSet<>();
        partitions.values().forEach(p -> all.addAll(p.replica().members().keySet()));
        return all.isEmpty() ? core.controlNodes() : new ArrayList<>(all);
    }

    /** The newest committed list of the core's members that is known here. */
    public CoreMembers members() {
        return core.members();
    }

    @Override
    public void start() throws ServiceException {
        for (Map.Entry<String, ControlPartition> e : partitions.entrySet()) {
            e.getValue().replica().start(env.wal().recovered().getOrDefault(e.getKey(), List.of()));
        }
        ticking = env.timers().every(Duration.ofMillis(250), this::onTick);
        refreshing = env.timers().every(Duration.ofSeconds(2), core::refreshMembers);
        membership.onTick();
    }

    private List<Replica> replicas() {
        return partitions.values().stream().map(ControlPartition::replica).toList();
    }

    /** Who the members of the core should be, as far as part c0 is known here. */
    private void followCoreMembers() {
        CoreMembers wanted = membership.committed();
        core.adopt(wanted);
        if (!wanted.members().isEmpty()) {
            partitions.forEach((id, p) -> p.replica().setDesiredMembers(rotated(wanted.members(), id)));
        }
    }

    private void onTick() {
        membership.onTick();
        followCoreMembers();
        observeLeaders();
        partitions.values().forEach(p -> p.leases().expireLapsed());
        placement.onTick();
        if (draining) {
            transferLeadership();
        } else {
            balanceLeaders();
        }
    }

    /** The first control node of a part's list owns it once it is back and up to date; one move at a look. */
    private void balanceLeaders() {
        for (Map.Entry<String, ControlPartition> e : partitions.entrySet()) {
            Replica r = e.getValue().replica();
            String first = rotated(core.controlNodes(), e.getKey()).get(0);
            if (r.successor().filter(first::equals).isPresent() && r.transferLeadership(first)) {
                return;
            }
        }
    }

    /** Owners hand over before they stop. */
    public boolean drain() {
        draining = true;
        partitions.values().forEach(p -> p.replica().declineLeadership());
        transferLeadership();
        boolean exchanging = membership.leave();
        return !exchanging
                && partitions.values().stream().noneMatch(p -> p.replica().role() == Role.LEADER);
    }

    private void transferLeadership() {
        partitions.values().forEach(p -> p.replica().successor().ifPresent(p.replica()::transferLeadership));
    }

    @Override
    public void stop() {
        ticking.cancel();
        refreshing.cancel();
        partitions.values().forEach(p -> p.replica().stop());
    }

    private void observeLeaders() {
        partitions.forEach(
                (id, p) -> leaders.observe(id, p.replica(), env.clock().monotonicTime()));
    }

    /** A part that changes hands in order is without an owner for a moment; that is no reason to turn operators away. */
    public boolean ready() {
        observeLeaders();
        return contact.ready(leaders.allRecent(partitions.keySet(), env.clock().monotonicTime()));
    }

    /** An operator's request, repeated while the part has no leader. */
    public <T> Mono<T> call(String part, RepeatableRequest request, Class<T> type) {
        return retryingClient.ask(part, request, type);
    }

    public Replica replica(String part) {
        return partitions.get(part).replica();
    }

    public ControlStateMachine machine(String part) {
        return partitions.get(part).stateMachine();
    }

    public Map<String, Object> status() {
        Map<String, Object> out = new LinkedHashMap<>();
        partitions.forEach((id, p) -> out.put(
                id,
                Map.of(
                        "phase",
                        p.replica().role(),
                        "term",
                        p.replica().term(),
                        "owner",
                        p.replica().leaderId().orElse(""),
                        "group",
                        p.replica().members().keySet())));
        return out;
    }
}

package org.woadvale.controlplane.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.woadvale.common.discovery.ViewCompression;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.ControlMessages.UpdateResult;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.FaultTolerance;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.Role;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.wal.WalRecord;
import org.woadvale.controlplane.lease.LeaseManager;
import org.woadvale.controlplane.membership.CoreMembership;
import org.woadvale.controlplane.membership.LeaderAvailability;
import org.woadvale.controlplane.membership.MajorityContact;
import org.woadvale.controlplane.membership.RetryingCoreClient;
import org.woadvale.controlplane.placement.PlacementDriver;
import org.woadvale.controlplane.state.ControlStateMachine;
import org.woadvale.controlplane.state.ServiceViewQuery;
import reactor.core.publisher.Mono;

/**
 * A control node: hosts one replica of every control partition and serves the requests that it receives as their
 * leader. Each partition has a different preferred leader, so that leadership is spread over the nodes.
 */
public final class ControlNode implements Component {
    private static final int MAX_HISTORY_BYTES = 512 << 10;
    /**
     * Limits the configuration history to a quarter of the largest log record, because a snapshot must fit into one
     * record together with the rest of the state.
     */
    private static final int HISTORY_FRACTION = 4;

    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(2);

    private record ControlPartition(
            Replica<ControlCommand, ControlResult> replica, ControlStateMachine stateMachine, LeaseManager leases) {}

    /** The status of a partition in the response to {@code GET v1/status}; the components are the JSON field names. */
    private record PartitionStatus(Role phase, long term, String owner, Set<String> group) {}

    private final NodeEnvironment environment;
    private final CoreClient core;
    private final Map<String, ControlPartition> partitions = new LinkedHashMap<>();
    private final LeaderAvailability leaderAvailability = new LeaderAvailability();
    private final RetryingCoreClient retryingClient;
    private final PlacementDriver placement;
    private final CoreMembership membership;
    private final ViewCompression compression = new ViewCompression();
    private final MajorityContact contact;
    private TimerHandle tickTimer = () -> {};
    private TimerHandle refreshTimer = () -> {};
    private volatile boolean draining;

    /**
     * Creates a node that is idle until {@link #start}.
     *
     * @param desiredMembers the initial members of the core; empty for a node that joins a running core and votes
     *     only after the leaders have added it to their groups
     * @param faultTolerance the losses that the core's group and the groups of the message partitions must tolerate
     */
    public ControlNode(
            NodeEnvironment environment,
            CoreClient core,
            List<String> desiredMembers,
            String zone,
            FaultTolerance faultTolerance) {
        this.environment = environment;
        this.core = core;
        for (String id : ServiceNames.controlPartitions()) {
            partitions.put(id, newPartition(id, desiredMembers));
        }
        ControlPartition c0 = partitions.get(ServiceNames.controlPartition(ServiceNames.CORE));
        this.membership = new CoreMembership(
                environment, core, zone, faultTolerance, c0.replica(), c0.stateMachine(), this::replicas);
        ControlPartition stores = partitions.get(ServiceNames.controlPartition(ServiceNames.STORES));
        this.placement = new PlacementDriver(environment, stores.replica(), stores.stateMachine(), faultTolerance);
        this.contact = new MajorityContact(environment, core, c0.replica(), membership::announcementAnsweredAt);
        this.retryingClient = new RetryingCoreClient(environment, core, contact::isInContact);
    }

    private ControlPartition newPartition(String id, List<String> desiredMembers) {
        int historyBytes = Math.min(MAX_HISTORY_BYTES, environment.wal().largestRecordBytes() / HISTORY_FRACTION);
        ControlStateMachine stateMachine = new ControlStateMachine(environment.codec(), historyBytes);
        Replica<ControlCommand, ControlResult> replica =
                new Replica<>(id, preferredOrder(desiredMembers, id), stateMachine, environment);
        return new ControlPartition(replica, stateMachine, new LeaseManager(replica, stateMachine, environment));
    }

    /** Rotates the members by partition, so that each partition has a different preferred leader. */
    private static List<String> preferredOrder(List<String> members, String partition) {
        List<String> sorted = new ArrayList<>(new TreeSet<>(members));
        Collections.rotate(sorted, Integer.parseInt(partition.substring(1)));
        return sorted;
    }

    @Override
    public String name() {
        return "control node";
    }

    /** Registers the handlers for requests from other nodes. */
    public void route(RpcRouter router) {
        ReplicationMessages.route(router, id -> partition(id).map(ControlPartition::replica));
        routeLeases(router);
        routeUpdates(router);
        router.on(
                        ControlMessages.ServiceViewRequest.class,
                        (from, request) ->
                                changedViews(request).flatMap(response -> compression.packOrError(request, response)))
                .on(ControlMessages.CoreMembersRequest.class, (from, request) -> Mono.just(core.membersResponse()))
                .on(ControlMessages.AnnounceStandbyRequest.class, (from, request) -> membership.onAnnouncement(request))
                .on(ControlMessages.LeaveCoreRequest.class, (from, request) -> membership.onLeaveRequest(request));
    }

    private void routeLeases(RpcRouter router) {
        router.on(
                        ControlMessages.RenewLeaseRequest.class,
                        (from, request) -> leases(request.service())
                                .flatMap(leases -> leases.renew(request))
                                .doOnNext(result -> onLeaseRenewed(request.service())))
                .on(
                        ControlMessages.LeaveRequest.class,
                        (from, request) -> leases(request.service()).flatMap(leases -> leases.leave(request)))
                .on(
                        ControlMessages.SingletonLeaseRequest.class,
                        (from, request) -> leases(request.service()).flatMap(leases -> leases.renewOrAcquire(request)))
                .on(
                        ControlMessages.ReleaseSingletonRequest.class,
                        (from, request) -> leases(request.service()).flatMap(leases -> leases.release(request)));
    }

    private void routeUpdates(RpcRouter router) {
        router.on(ControlMessages.PutCore.class, (from, put) -> update(ServiceNames.CORE, put))
                .on(ControlMessages.PutProcessor.class, (from, put) -> update(put.service(), put))
                .on(ControlMessages.DropProcessor.class, (from, drop) -> update(drop.service(), drop))
                .on(ControlMessages.PutProcessors.class, (from, put) -> update(put.service(), put));
    }

    /** Replaces the seed addresses after a change of the settings. */
    public void updateSeeds(List<String> seeds) {
        core.updateSeeds(seeds);
    }

    private void onLeaseRenewed(String service) {
        if (service.equals(ServiceNames.STORES)) {
            placement.onStoreHeartbeat();
        }
    }

    private Mono<ControlPartition> partition(String id) {
        return Mono.justOrEmpty(partitions.get(id))
                .switchIfEmpty(Mono.error(new NotFoundException("No control partition " + id + ".")));
    }

    private Mono<LeaseManager> leases(String service) {
        return partition(ServiceNames.controlPartition(service)).map(ControlPartition::leases);
    }

    private Mono<UpdateResult> update(String service, ControlCommand command) {
        return partition(ServiceNames.controlPartition(service))
                .flatMap(partition -> partition.replica().propose(command, UpdateResult.class));
    }

    /**
     * All requested services belong to one partition. The reported ages are zero, since the read has just confirmed the
     * leader's lease.
     */
    private Mono<ControlMessages.ServiceViewResponse> changedViews(ControlMessages.ServiceViewRequest request) {
        String id = ServiceNames.controlPartition(
                request.knownVersions().keySet().stream().findFirst().orElse(ServiceNames.CONFIGURATION));
        return partition(id)
                .flatMap(partition -> partition
                        .replica()
                        .read(index -> ServiceViewQuery.changed(
                                id,
                                partition.stateMachine(),
                                request,
                                core.members().epoch())));
    }

    /** The maximum size of a stored record, in bytes. */
    public int largestRecordBytes() {
        return environment.wal().largestRecordBytes();
    }

    /**
     * The members of the groups of all control partitions or, while this node belongs to no group, those of the newest
     * member list that it has received.
     */
    public List<String> controlNodes() {
        TreeSet<String> nodes = new TreeSet<>();
        replicas().forEach(replica -> nodes.addAll(replica.members().keySet()));
        return nodes.isEmpty() ? core.controlNodes() : new ArrayList<>(nodes);
    }

    /**
     * The members in the committed list, as far as it is applied on this node; during a membership change some groups
     * still have other members. The members of the groups while no list has been committed.
     */
    public List<String> committedControlNodes() {
        List<String> listed = membership.committed().members();
        return listed.isEmpty() ? controlNodes() : listed;
    }

    /** Whether, as far as this node knows, some group does not have the members of the committed list yet. */
    public boolean isMembershipChanging() {
        return membership.isChanging();
    }

    /** The newest committed member list of the core that this node knows. */
    public CoreMembers members() {
        return core.members();
    }

    @Override
    public void start() throws ServiceException {
        Map<String, List<WalRecord>> recovered = environment.wal().recovered();
        for (Map.Entry<String, ControlPartition> partition : partitions.entrySet()) {
            partition.getValue().replica().start(recovered.getOrDefault(partition.getKey(), List.of()));
        }
        tickTimer = environment.timers().every(TICK, this::onTick);
        refreshTimer = environment.timers().every(REFRESH_INTERVAL, core::refreshMembers);
        membership.onTick();
    }

    private List<Replica<ControlCommand, ControlResult>> replicas() {
        return partitions.values().stream().map(ControlPartition::replica).toList();
    }

    /**
     * Makes the committed members of the core, as far as partition c0 is applied here, the desired members of all
     * partitions.
     */
    private void followCoreMembers() {
        CoreMembers desired = membership.committed();
        core.adopt(desired);
        if (!desired.members().isEmpty()) {
            partitions.forEach(
                    (id, partition) -> partition.replica().setDesiredMembers(preferredOrder(desired.members(), id)));
        }
    }

    private void onTick() {
        membership.onTick();
        followCoreMembers();
        observeLeaders();
        partitions.values().forEach(partition -> partition.leases().dropExpired());
        placement.onTick();
        if (draining) {
            transferLeadership();
        } else {
            balanceLeaders();
        }
    }

    /**
     * Transfers leadership back to the preferred leader of a partition once it is up to date; at most one transfer per
     * tick.
     */
    private void balanceLeaders() {
        for (Map.Entry<String, ControlPartition> partition : partitions.entrySet()) {
            Replica<ControlCommand, ControlResult> replica =
                    partition.getValue().replica();
            String preferred =
                    preferredOrder(core.controlNodes(), partition.getKey()).get(0);
            if (replica.successor().filter(preferred::equals).isPresent() && replica.transferLeadership(preferred)) {
                return;
            }
        }
    }

    /** Transfers the leadership of all partitions before the node stops. Returns true once the node may stop. */
    public boolean drain() {
        draining = true;
        replicas().forEach(Replica::declineLeadership);
        transferLeadership();
        boolean awaitsSuccessor = membership.leave();
        return !awaitsSuccessor && replicas().stream().noneMatch(replica -> replica.role() == Role.LEADER);
    }

    private void transferLeadership() {
        replicas().forEach(replica -> replica.successor().ifPresent(replica::transferLeadership));
    }

    @Override
    public void stop() {
        tickTimer.cancel();
        refreshTimer.cancel();
        replicas().forEach(Replica::stop);
    }

    private void observeLeaders() {
        Duration now = environment.clock().monotonicTime();
        partitions.forEach((id, partition) -> leaderAvailability.observe(id, partition.replica(), now));
    }

    /**
     * Whether this node is ready to serve operators and processors. It stays ready while a planned change of leader
     * leaves a partition without one for a moment.
     */
    public boolean ready() {
        observeLeaders();
        Duration now = environment.clock().monotonicTime();
        return contact.isReady(leaderAvailability.allRecent(partitions.keySet(), now));
    }

    /**
     * Sends a request to the leader of a partition and retries while there is none; see {@link
     * RetryingCoreClient#call}.
     */
    public <T> Mono<T> call(String partition, RepeatableRequest request, Class<T> responseType) {
        return retryingClient.call(partition, request, responseType);
    }

    /** The replica of a partition on this node. */
    public Replica<ControlCommand, ControlResult> replica(String partition) {
        return partitions.get(partition).replica();
    }

    /**
     * The state machine of a partition on this node; to be used only within {@link Replica#read} or {@link
     * Replica#inspect}.
     */
    public ControlStateMachine stateMachine(String partition) {
        return partitions.get(partition).stateMachine();
    }

    /** The status of each partition as known to this node, for display. */
    public Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        partitions.forEach((id, partition) -> status.put(id, status(partition.replica())));
        return status;
    }

    private static PartitionStatus status(Replica<ControlCommand, ControlResult> replica) {
        return new PartitionStatus(
                replica.role(),
                replica.term(),
                replica.leaderId().orElse(""),
                replica.members().keySet());
    }
}

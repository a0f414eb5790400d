package org.woadvale.dataplane.queue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.error.DeadlineExpiredException;
import org.woadvale.common.error.NotLeaderException;
import org.woadvale.common.error.QueueFullException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.ThrottledException;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.ratelimit.RateLimit;
import org.woadvale.common.ratelimit.TokenBucket;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.Role;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.dataplane.queue.MessageCommands.MessageCommand;
import org.woadvale.dataplane.queue.MessageCommands.MessageResult;
import reactor.core.publisher.Mono;

/** The message partitions of a store, opened according to the placement. (docs/design.md, section 9.1) */
public final class MessagePartitions {
    private static final Logger LOG = LogManager.getLogger(MessagePartitions.class);
    private static final int UNIT_BYTES = 1024;
    /** Headroom in the size limit of a partition for outcomes and for snapshot data other than messages. */
    private static final int SNAPSHOT_MARGIN_BYTES = 32 << 10;

    private static final Duration TICK = Duration.ofMillis(200);
    private static final Duration OUTCOME_UNKNOWN_RETENTION = Duration.ofDays(1);
    private static final int MAX_EXPIRY_LAG_S = 5;

    /** A partition open on this store: its replica, its state machine and its rate limit bucket, in size units. */
    public record MessagePartition(
            String id,
            Replica<MessageCommand, MessageResult> replica,
            MessageStateMachine stateMachine,
            TokenBucket unitBucket) {}

    private final NodeEnvironment environment;
    private final ViewSubscriptions subscriptions;
    private final Map<String, MessagePartition> partitions = new ConcurrentHashMap<>();
    private final TokenBucket nodeUnits;
    private final RateLimit partitionLimit;
    private final long maxPartitionBytes;
    private Consumer<MessagePartition> onOpen = partition -> {};
    private TimerHandle ticking = () -> {};
    private boolean draining;
    private final String incarnation;
    private final Duration retention;

    /**
     * A partition accepts messages up to {@code maxPartitionBytes}; in addition, its snapshot must fit into a ring
     * file, with room for the tail of the log.
     */
    public MessagePartitions(
            NodeEnvironment environment,
            ViewSubscriptions subscriptions,
            RateLimit node,
            RateLimit partition,
            long maxPartitionBytes,
            Duration retention) {
        this.retention = retention;
        this.maxPartitionBytes = maxPartitionBytes;
        this.environment = environment;
        this.subscriptions = subscriptions;
        this.nodeUnits = TokenBucket.full(node, environment.clock().monotonicTime());
        this.partitionLimit = partition;
        this.incarnation = Long.toHexString(environment.random().getAsLong());
    }

    /** Sets the listener that is called for each partition opened from now on. */
    public void onOpen(Consumer<MessagePartition> listener) {
        onOpen = listener;
    }

    /** Registers the handlers for replication and for requests to the leader of a partition. */
    public void route(RpcRouter router) {
        ReplicationMessages.route(router, partition -> partition(partition).map(MessagePartition::replica))
                .on(
                        MessageCommands.AcceptRequest.class,
                        (f, request) -> partition(request.partition())
                                .flatMap(partition -> requireNotExpired(request.deadline())
                                        .then(Mono.defer(() -> accept(partition, request.accept())))))
                .on(
                        MessageCommands.ClockRequest.class,
                        (f, request) -> Mono.just(new MessageCommands.ClockResponse(
                                incarnation, environment.clock().monotonicTime())))
                .on(
                        MessageCommands.ListRequest.class,
                        (f, request) -> partition(request.partition())
                                .flatMap(partition -> partition
                                        .replica()
                                        .read(i -> new MessageCommands.ListResponse(partition
                                                .stateMachine()
                                                .list(
                                                        request.tenant(),
                                                        MessageState.valueOf(request.state()),
                                                        request.limit())))));
    }

    /** Returns a partition that is open on this store; fails with NOT_OWNER for others. */
    public Mono<MessagePartition> partition(String partition) {
        return Mono.justOrEmpty(partitions.get(partition))
                .switchIfEmpty(Mono.error(new NotLeaderException("The part " + partition + " is not here.")));
    }

    /**
     * Rejects a request that arrives after its deadline: its token, access key and lane were checked before the delay
     * and may no longer be valid.
     */
    public Mono<Object> requireNotExpired(MessageCommands.RemoteDeadline deadline) {
        return Mono.defer(() -> deadline.incarnation().equals(incarnation)
                        && environment.clock().monotonicTime().compareTo(deadline.at()) < 0
                ? Mono.empty()
                : Mono.error(new DeadlineExpiredException("This came too late to be taken.")));
    }

    /** Checks the room and the rate limits of node and partition, then commits. All these refusals are definite. */
    private Mono<MessageCommands.Accepted> accept(MessagePartition partition, MessageCommands.Accept accept) {
        int units = Math.max(1, (accept.body().length + UNIT_BYTES - 1) / UNIT_BYTES);
        if (!partition.replica().isActiveLeader()) {
            // this replica may become the active leader during the read: then all checks are repeated
            return partition.replica().read(i -> i).flatMap(i -> accept(partition, accept));
        }
        if (!hasRoom(partition, accept)) {
            return Mono.error(new QueueFullException("The part " + partition.id() + " has no room."));
        }
        if (!tryTakeUnits(partition, units)) {
            return Mono.error(new ThrottledException("The store is at its limit.", List.of("1")));
        }
        return partition.replica().propose(withLeaderTime(accept), MessageCommands.Accepted.class);
    }

    /**
     * Stored messages and entries not yet applied must fit into a snapshot of at most half a ring file, and the log
     * must have room beyond what its snapshots and the outcomes of messages need.
     */
    private boolean hasRoom(MessagePartition partition, MessageCommands.Accept accept) {
        long stored = partition.replica().inspect(i -> partition.stateMachine().storedBytes());
        long added = Message.accepted("", 0, accept).size();
        long bytes = stored + partition.replica().unappliedBytes() + added + SNAPSHOT_MARGIN_BYTES;
        long limit = Math.min(maxPartitionBytes, environment.wal().largestRecordBytes() / 2);
        return bytes <= limit && !environment.wal().nearlyFull();
    }

    /**
     * Replaces the intake's times by the leader's and keeps the requested delay: the wall clock of the intake may be
     * wrong. (docs/design.md, section 9.1)
     */
    private MessageCommands.Accept withLeaderTime(MessageCommands.Accept accept) {
        Instant now = environment.clock().wallTime();
        return new MessageCommands.Accept(
                accept.tenant(),
                accept.lane(),
                accept.id(),
                accept.orderKey(),
                accept.body(),
                accept.hash(),
                accept.terms(),
                now.plus(Duration.between(accept.at(), accept.due())),
                now,
                accept.envelope());
    }

    /** Takes size units from the buckets of both the node and the partition, or from neither. */
    public boolean tryTakeUnits(MessagePartition partition, int units) {
        synchronized (nodeUnits) {
            Duration now = environment.clock().monotonicTime();
            nodeUnits.fill(now, 0);
            partition.unitBucket().fill(now, 0);
            if (nodeUnits.level() < units || !partition.unitBucket().take(units)) {
                return false;
            }
            return nodeUnits.take(units);
        }
    }

    /** Opens the partitions found on disk, and from now on those that the placement assigns to this store. */
    public void start() throws ServiceException {
        for (String partition : environment.wal().recovered().keySet()) {
            if (partition.startsWith("m")) {
                open(partition, List.of());
            }
        }
        subscriptions.onView((service, view) -> {
            if (service.equals(ServiceNames.STORES)) {
                onTick();
            }
        });
        ticking = environment.timers().every(TICK, this::onTick);
    }

    private void open(String id, List<String> desired) throws ServiceException {
        MessageStateMachine stateMachine = new MessageStateMachine(id, environment.codec());
        Replica<MessageCommand, MessageResult> replica = new Replica<>(id, desired, stateMachine, environment);
        replica.start(environment.wal().recovered().getOrDefault(id, List.of()));
        MessagePartition partition = new MessagePartition(
                id,
                replica,
                stateMachine,
                TokenBucket.full(partitionLimit, environment.clock().monotonicTime()));
        partitions.put(id, partition);
        onOpen.accept(partition);
    }

    private synchronized void onTick() {
        Map<String, List<String>> placement =
                new HashMap<>(subscriptions.latest(ServiceNames.STORES).placement());
        placement.forEach((partition, replicas) -> {
            Optional<MessagePartition> open = Optional.ofNullable(partitions.get(partition));
            if (open.isPresent()) {
                open.get().replica().setDesiredMembers(replicas);
            } else if (replicas.contains(environment.self())) {
                try {
                    open(partition, replicas);
                } catch (ServiceException failure) {
                    LOG.error("Partition {} did not open: {}", partition, failure.getMessage());
                }
            }
        });
        partitions.values().forEach(partition -> {
            expireEnded(partition);
            balanceLeader(partition, placement.getOrDefault(partition.id(), List.of()));
        });
    }

    private void expireEnded(MessagePartition partition) {
        var endedBefore = environment.clock().wallTime().minus(retention);
        var outcomeUnknownBefore = environment.clock().wallTime().minus(OUTCOME_UNKNOWN_RETENTION);
        if (partition.replica().isActiveLeader()
                && partition
                        .replica()
                        .inspect(i -> partition
                                .stateMachine()
                                .hasExpired(
                                        endedBefore.minusSeconds(MAX_EXPIRY_LAG_S),
                                        outcomeUnknownBefore.minusSeconds(MAX_EXPIRY_LAG_S)))) {
            partition
                    .replica()
                    .propose(
                            new MessageCommands.ExpireEnded(endedBefore, outcomeUnknownBefore),
                            MessageCommands.ExpiredCount.class)
                    .subscribe(expiredCount -> {}, e -> {});
        }
    }

    /**
     * Transfers leadership to the first replica of the placement once it is up to date; a draining node transfers every
     * leadership.
     */
    private void balanceLeader(MessagePartition partition, List<String> replicas) {
        if (partition.replica().role() != Role.LEADER) {
            return;
        }
        partition
                .replica()
                .successor()
                .filter(node -> draining || (!replicas.isEmpty() && node.equals(replicas.get(0))))
                .ifPresent(node -> {
                    if (partition.replica().transferLeadership(node)) {
                        LOG.info("Transfers leadership of {} to {}.", partition.id(), node);
                    }
                });
    }

    /** Transfers all leaderships; returns true once this store leads no partition. */
    public boolean drain() {
        draining = true;
        partitions.values().forEach(partition -> partition.replica().declineLeadership());
        partitions.values().forEach(partition -> balanceLeader(partition, List.of()));
        return partitions.values().stream()
                .noneMatch(partition -> partition.replica().role() == Role.LEADER);
    }

    /** The open partitions by id. */
    public Map<String, MessagePartition> all() {
        return partitions;
    }

    /** Stops all replicas. */
    public void stop() {
        ticking.cancel();
        partitions.values().forEach(partition -> partition.replica().stop());
    }
}

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
import org.woadvale.common.error.NotFoundException;
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

/** The message partitions of a store, opened as the placement says (docs/design.md, section 9.1). */
public final class MessagePartitions {
    private static final Logger LOG = LogManager.getLogger(MessagePartitions.class);
    private static final int UNIT_BYTES = 1024;
    /** Left in the bound on a partition for what its snapshot has beside messages, and for outcomes. */
    private static final int SNAPSHOT_MARGIN_BYTES = 32 << 10;

    private static final Duration TICK = Duration.ofMillis(200);
    private static final Duration OUTCOME_UNKNOWN_RETENTION = Duration.ofDays(1);
    private static final int MAX_EXPIRY_LAG_S = 5;

    /** One partition here: its replica, its machine and its own bucket in size units. */
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

    /** A partition takes no more beyond its size; and its snapshot, with room for the log's tail, must fit into a ring file. */
    public MessagePartitions(
            NodeEnvironment environment,
            ViewSubscriptions subscriptions,
            RateLimit node,
            RateLimit partition,
            long partBytes,
            Duration retention) {
        this.retention = retention;
        this.maxPartitionBytes = partBytes;
        this.environment = environment;
        this.subscriptions = subscriptions;
        this.nodeUnits = TokenBucket.full(node, environment.clock().monotonicTime());
        this.partitionLimit = partition;
        this.incarnation = Long.toHexString(environment.random().getAsLong());
    }

    /** The listener runs for each partition that is opened. */
    public void onOpen(Consumer<MessagePartition> consumer) {
        onOpen = consumer;
    }

    /** What this store answers as a replica, and as the leader of a partition. */
    public void route(RpcRouter router) {
        ReplicationMessages.route(router, partition -> partition(partition).map(MessagePartition::replica))
                .on(
                        MessageCommands.AcceptRequest.class,
                        (f, request) -> partition(request.partition())
                                .flatMap(partition -> requireBefore(request.deadline())
                                        .then(Mono.defer(() -> accept(partition, request.accept())))))
                .on(
                        MessageCommands.ClockRequest.class,
                        (f, request) -> Mono.just(new MessageCommands.ClockResponse(
                                incarnation, environment.clock().monotonicTime())))
                .on(
                        MessageCommands.StatusRequest.class,
                        (f, request) -> partition(request.partition()).flatMap(partition -> status(partition, request)))
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

    /** A partition that is open here; fails with NOT_OWNER for others. */
    public Mono<MessagePartition> partition(String partition) {
        return Mono.justOrEmpty(partitions.get(partition))
                .switchIfEmpty(Mono.error(new NotLeaderException("The part " + partition + " is not here.")));
    }

    /**
     * What was delayed on its way beyond its deadline is rejected: its token, key and lane have not been checked since.
     */
    public Mono<Object> requireBefore(MessageCommands.RemoteDeadline deadline) {
        return Mono.defer(() -> deadline.incarnation().equals(incarnation)
                        && environment.clock().monotonicTime().compareTo(deadline.at()) < 0
                ? Mono.empty()
                : Mono.error(new DeadlineExpiredException("This came too late to be taken.")));
    }

    /** Node and part buckets in size units first, then the commit. All refusals here are definite. */
    private Mono<MessageCommands.Accepted> accept(MessagePartition partition, MessageCommands.Accept accept) {
        int units = Math.max(1, (accept.body().length + UNIT_BYTES - 1) / UNIT_BYTES);
        if (!partition.replica().isActiveLeader()) {
            // it may own the partition a moment later: then all of this is checked again
            return partition.replica().read(i -> i).flatMap(i -> accept(partition, accept));
        }
        if (!hasRoom(partition, accept)) {
            return Mono.error(new QueueFullException("The part " + partition.id() + " has no room."));
        }
        if (!spend(partition, units)) {
            return Mono.error(new ThrottledException("The store is at its limit.", List.of("1")));
        }
        return partition.replica().propose(withLeaderTime(accept), MessageCommands.Accepted.class);
    }

    /**
     * What is stored and what is under way must fit into a snapshot of which two fit into one file of the ring, and the
     * ring must have room beyond what its snapshots and the outcomes of messages need.
     */
    private boolean hasRoom(MessagePartition partition, MessageCommands.Accept accept) {
        long stored = partition.replica().inspect(i -> partition.stateMachine().storedBytes());
        long added = Message.accepted("", 0, accept).size();
        long bytes = stored + partition.replica().unappliedBytes() + added + SNAPSHOT_MARGIN_BYTES;
        long limit = Math.min(maxPartitionBytes, environment.wal().largestRecordBytes() / 2);
        return bytes <= limit && !environment.wal().nearlyFull();
    }

    /** Clock are the leader's: the intake's calendar clock may be off. (docs/design.md, section 9.1) */
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

    /** Draws size units of the node and of the partition, or of neither. */
    public boolean spend(MessagePartition partition, int units) {
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

    private Mono<Message> status(MessagePartition partition, MessageCommands.StatusRequest request) {
        return partition
                .replica()
                .read(i -> partition
                        .stateMachine()
                        .get(request.handle())
                        .filter(message -> message.tenant().equals(request.tenant())))
                .flatMap(message -> message.map(Mono::just)
                        .orElseGet(() -> Mono.error(new NotFoundException(
                                "No such message is known; it may have been forgotten after its end."))));
    }

    /** Opens the partitions that are on disk, and those that the placement names from now on. */
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

    private void open(String string, List<String> desired) throws ServiceException {
        MessageStateMachine stateMachine = new MessageStateMachine(string, environment.codec());
        Replica<MessageCommand, MessageResult> replica = new Replica<>(string, desired, stateMachine, environment);
        replica.start(environment.wal().recovered().getOrDefault(string, List.of()));
        MessagePartition partition = new MessagePartition(
                string,
                replica,
                stateMachine,
                TokenBucket.full(partitionLimit, environment.clock().monotonicTime()));
        partitions.put(string, partition);
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
        var limit = environment.clock().wallTime().minus(retention);
        var unclear = environment.clock().wallTime().minus(OUTCOME_UNKNOWN_RETENTION);
        if (partition.replica().isActiveLeader()
                && partition
                        .replica()
                        .inspect(i -> partition
                                .stateMachine()
                                .hasExpired(
                                        limit.minusSeconds(MAX_EXPIRY_LAG_S),
                                        unclear.minusSeconds(MAX_EXPIRY_LAG_S)))) {
            partition
                    .replica()
                    .propose(new MessageCommands.ExpireEnded(limit, unclear), MessageCommands.ExpiredCount.class)
                    .subscribe(expiredCount -> {}, e -> {});
        }
    }

    /** The first of the placement owns once it is up to date; a draining node gives all away. */
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

    /** Transfers all leaderships; true once this store leads nothing. */
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

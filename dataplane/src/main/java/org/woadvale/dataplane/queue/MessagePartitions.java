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
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.ratelimit.Bucket;
import org.woadvale.common.ratelimit.RateLimit;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.Role;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Mono;

/** The message parts of a store, opened as the placement says: design 9.1. */
public final class MessagePartitions {
    private static final Logger LOG = LogManager.getLogger("berth");
    private static final Duration OUTCOME_UNKNOWN_RETENTION = Duration.ofDays(1);
    private static final int MAX_EXPIRY_LAG_S = 5;

    /** One part here: its replica, its machine and its own bucket in size units. */
    public record MessagePartition(String id, Replica replica, MessageStateMachine stateMachine, Bucket units) {}

    private final NodeEnvironment env;
    private final ViewSubscriptions subscriptions;
    private final Map<String, MessagePartition> partitions = new ConcurrentHashMap<>();
    private final Bucket nodeUnits;
    private final RateLimit partitionLimit;
    private final long maxPartitionBytes;
    private Consumer<MessagePartition> onOpen = b -> {};
    private TimerHandle ticking = () -> {};
    private boolean draining;
    private final String incarnation;
    private final Duration retention;

    /** A part takes no more beyond its size; and its view, with room for the log's tail, must fit into a ring file. */
    public MessagePartitions(
            NodeEnvironment env,
            ViewSubscriptions subscriptions,
            RateLimit node,
            RateLimit part,
            long partBytes,
            Duration retention) {
        this.retention = retention;
        this.maxPartitionBytes = partBytes;
        this.env = env;
        this.subscriptions = subscriptions;
        this.nodeUnits = Bucket.full(node, env.clock().monotonicTime());
        this.partitionLimit = part;
        this.incarnation = Long.toHexString(env.random().getAsLong());
    }

    public void onOpen(Consumer<MessagePartition> c) {
        onOpen = c;
    }

    public void route(RpcRouter router) {
        ReplicationMessages.route(router, part -> partition(part).map(MessagePartition::replica))
                .on(
                        MessageCommands.AcceptRequest.class,
                        (f, a) -> partition(a.partition())
                                .flatMap(b ->
                                        requireBefore(a.deadline()).then(Mono.defer(() -> accept(b, a.accept())))))
                .on(
                        MessageCommands.ClockRequest.class,
                        (f, a) -> Mono.just(new MessageCommands.ClockResponse(
                                incarnation, env.clock().monotonicTime())))
                .on(
                        MessageCommands.StatusRequest.class,
                        (f, a) -> partition(a.partition()).flatMap(b -> status(b, a)))
                .on(
                        MessageCommands.ListRequest.class,
                        (f, a) -> partition(a.partition())
                                .flatMap(b -> b.replica()
                                        .read(i -> new MessageCommands.ListResponse(b.stateMachine()
                                                .list(a.tenant(), MessageState.valueOf(a.state()), a.limit())))));
    }

    public Mono<MessagePartition> partition(String part) {
        return Mono.justOrEmpty(partitions.get(part))
                .switchIfEmpty(
                        Mono.error(new ServiceException(ErrorKind.NOT_OWNER, "The part " + part + " is not here.")));
    }

    /** What was held up on its way past its time is refused: its pass, key and lane have not been looked at since. */
    public Mono<Object> requireBefore(MessageCommands.RemoteDeadline u) {
        return Mono.defer(() -> u.incarnation().equals(incarnation)
                        && env.clock().monotonicTime().compareTo(u.at()) < 0
                ? Mono.empty()
                : Mono.error(new ServiceException(ErrorKind.EXPIRED, "This came too late to be taken.")));
    }

    /** Node and part buckets in size units first, then the commit. All refusals here are definite. */
    private Mono<MessageCommands.Accepted> accept(MessagePartition b, MessageCommands.Accept a) {
        int units = Math.max(1, (a.body().length + 1023) / 1024);
        boolean room = b.replica().look(i -> b.stateMachine().storedBytes())
                        < Math.min(maxPartitionBytes, env.wal().largestRecordBytes() / 2)
                && !env.wal().nearlyFull();
        if (!b.replica().isActiveLeader()) {
            // it may own the part a moment later: then all of this is looked at again
            return b.replica().read(i -> i).flatMap(i -> accept(b, a));
        }
        if (!room) {
            return Mono.error(new ServiceException(ErrorKind.QUEUE_FULL, "The part " + b.id() + " has no room."));
        }
        if (!spend(b, units)) {
            return Mono.error(new ServiceException(ErrorKind.THROTTLED, "The store is at its limit.", List.of("1")));
        }
        return b.replica().propose(withLeaderTime(a), MessageCommands.Accepted.class);
    }

    /** Clock are the owner's: the intake's calendar clock may be off. design 9.1 */
    private MessageCommands.Accept withLeaderTime(MessageCommands.Accept a) {
        Instant now = env.clock().wallTime();
        return new MessageCommands.Accept(
                a.tenant(),
                a.lane(),
                a.id(),
                a.orderKey(),
                a.body(),
                a.hash(),
                a.terms(),
                now.plus(Duration.between(a.at(), a.due())),
                now,
                a.envelope());
    }

    /** Draws size units of the node and of the part, or of neither. */
    public boolean spend(MessagePartition b, int units) {
        synchronized (nodeUnits) {
            Duration now = env.clock().monotonicTime();
            nodeUnits.fill(now, 0);
            b.units().fill(now, 0);
            if (nodeUnits.level() < units || !b.units().take(units)) {
                return false;
            }
            return nodeUnits.take(units);
        }
    }

    private Mono<Message> status(MessagePartition b, MessageCommands.StatusRequest a) {
        return b.replica()
                .read(i ->
                        b.stateMachine().get(a.handle()).filter(m -> m.tenant().equals(a.tenant())))
                .flatMap(o -> o.map(Mono::just)
                        .orElseGet(() -> Mono.error(new ServiceException(
                                ErrorKind.NOT_FOUND,
                                "No such message is known; it may have been forgotten after its end."))));
    }

    public void start() throws ServiceException {
        for (String part : env.wal().recovered().keySet()) {
            if (part.startsWith("m")) {
                open(part, List.of());
            }
        }
        subscriptions.onView((service, view) -> {
            if (service.equals(ServiceNames.STORES)) {
                onTick();
            }
        });
        ticking = env.timers().every(Duration.ofMillis(200), this::onTick);
    }

    private void open(String part, List<String> wanted) throws ServiceException {
        MessageStateMachine m = new MessageStateMachine(part, env.codec());
        Replica r = new Replica(part, wanted, m, env);
        r.start(env.wal().recovered().getOrDefault(part, List.of()));
        MessagePartition b = new MessagePartition(
                part, r, m, Bucket.full(partitionLimit, env.clock().monotonicTime()));
        partitions.put(part, b);
        onOpen.accept(b);
    }

    private synchronized void onTick() {
        Map<String, List<String>> placement =
                new HashMap<>(subscriptions.latest(ServiceNames.STORES).placement());
        placement.forEach((part, copies) -> {
            Optional<MessagePartition> b = Optional.ofNullable(partitions.get(part));
            if (b.isPresent()) {
                b.get().replica().setDesiredMembers(copies);
            } else if (copies.contains(env.self())) {
                try {
                    open(part, copies);
                } catch (ServiceException e) {
                    LOG.error("berth: the part {} did not open: {}", part, e.getMessage());
                }
            }
        });
        partitions.values().forEach(b -> {
            expireEnded(b);
            balanceLeader(b, placement.getOrDefault(b.id(), List.of()));
        });
    }

    private void expireEnded(MessagePartition b) {
        var limit = env.clock().wallTime().minus(retention);
        var unclear = env.clock().wallTime().minus(OUTCOME_UNKNOWN_RETENTION);
        if (b.replica().isActiveLeader()
                && b.replica()
                        .look(i -> b.stateMachine()
                                .anyEndedBefore(
                                        limit.minusSeconds(MAX_EXPIRY_LAG_S),
                                        unclear.minusSeconds(MAX_EXPIRY_LAG_S)))) {
            b.replica()
                    .propose(new MessageCommands.ExpireEnded(limit, unclear), MessageCommands.ExpiredCount.class)
                    .subscribe(f -> {}, e -> {});
        }
    }

    /** The first of the placement owns once it is up to date; a draining node gives all away. */
    private void balanceLeader(MessagePartition b, List<String> copies) {
        if (b.replica().role() != Role.LEADER) {
            return;
        }
        b.replica()
                .successor()
                .filter(h -> draining || (!copies.isEmpty() && h.equals(copies.get(0))))
                .ifPresent(h -> {
                    if (b.replica().transferLeadership(h)) {
                        LOG.info("berth: hands {} over to {}.", b.id(), h);
                    }
                });
    }

    public boolean drain() {
        draining = true;
        partitions.values().forEach(b -> b.replica().declineLeadership());
        partitions.values().forEach(b -> balanceLeader(b, List.of()));
        return partitions.values().stream().noneMatch(b -> b.replica().role() == Role.LEADER);
    }

    public Map<String, MessagePartition> all() {
        return partitions;
    }

    public void stop() {
        ticking.cancel();
        partitions.values().forEach(b -> b.replica().stop());
    }
}

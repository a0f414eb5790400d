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
import org.woadvale.common.replication.Env;
import org.woadvale.common.replication.Messages;
import org.woadvale.common.replication.Phase;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Mono;

/** The message parts of a store, opened as the placement says: design 9.1. */
public final class MessagePartitions {
    private static final Logger LOG = LogManager.getLogger("berth");
    private static final Duration UNCLEAR_RETENTION = Duration.ofDays(1);
    private static final int MAX_FORGET_LAG_S = 5;

    /** One part here: its replica, its machine and its own bucket in size units. */
    public record MessagePartition(String part, Replica replica, MessageStateMachine machine, Bucket units) {}

    private final Env env;
    private final ViewSubscriptions subscriptions;
    private final Map<String, MessagePartition> partitions = new ConcurrentHashMap<>();
    private final Bucket nodeUnits;
    private final RateLimit partAllowance;
    private final long partBytes;
    private Consumer<MessagePartition> onOpen = b -> {};
    private TimerHandle looking = () -> {};
    private boolean draining;
    private final String life;
    private final Duration retention;

    /** A part takes no more beyond its size; and its view, with room for the log's tail, must fit into a ring file. */
    public MessagePartitions(
            Env env,
            ViewSubscriptions subscriptions,
            RateLimit node,
            RateLimit part,
            long partBytes,
            Duration retention) {
        this.retention = retention;
        this.partBytes = partBytes;
        this.env = env;
        this.subscriptions = subscriptions;
        this.nodeUnits = Bucket.full(node, env.times().mono());
        this.partAllowance = part;
        this.life = Long.toHexString(env.random().getAsLong());
    }

    public void onOpen(Consumer<MessagePartition> c) {
        onOpen = c;
    }

    public void route(RpcRouter router) {
        Messages.route(router, part -> at(part).map(MessagePartition::replica))
                .on(
                        Commands.AcceptAsk.class,
                        (f, a) -> at(a.part())
                                .flatMap(b -> timely(a.until()).then(Mono.defer(() -> accept(b, a.accept())))))
                .on(
                        Commands.ClockAsk.class,
                        (f, a) -> Mono.just(new Commands.Clock(life, env.times().mono())))
                .on(Commands.StatusAsk.class, (f, a) -> at(a.part()).flatMap(b -> status(b, a)))
                .on(
                        Commands.ListAsk.class,
                        (f, a) -> at(a.part())
                                .flatMap(b -> b.replica()
                                        .read(i -> new Commands.Listed(b.machine()
                                                .list(a.tenant(), MessageState.valueOf(a.state()), a.most())))));
    }

    public Mono<MessagePartition> at(String part) {
        return Mono.justOrEmpty(partitions.get(part))
                .switchIfEmpty(
                        Mono.error(new ServiceException(ErrorKind.NOT_OWNER, "The part " + part + " is not here.")));
    }

    /** What was held up on its way past its time is refused: its pass, key and lane have not been looked at since. */
    public Mono<Object> timely(Commands.Until u) {
        return Mono.defer(() -> u.life().equals(life) && env.times().mono().compareTo(u.by()) < 0
                ? Mono.empty()
                : Mono.error(new ServiceException(ErrorKind.EXPIRED, "This came too late to be taken.")));
    }

    /** Node and part buckets in size units first, then the commit. All refusals here are definite. */
    private Mono<Commands.Accepted> accept(MessagePartition b, Commands.Accept a) {
        int units = Math.max(1, (a.body().length + 1023) / 1024);
        boolean room = b.replica().look(i -> b.machine().weight())
                        < Math.min(partBytes, env.wal().largest() / 2)
                && !env.wal().nearlyFull();
        if (!b.replica().mayAct()) {
            // it may own the part a moment later: then all of this is looked at again
            return b.replica().read(i -> i).flatMap(i -> accept(b, a));
        }
        if (!room) {
            return Mono.error(new ServiceException(ErrorKind.QUEUE_FULL, "The part " + b.part() + " has no room."));
        }
        if (!spend(b, units)) {
            return Mono.error(new ServiceException(ErrorKind.THROTTLED, "The store is at its limit.", List.of("1")));
        }
        return b.replica().propose(stamped(a), Commands.Accepted.class);
    }

    /** Clock are the owner's: the intake's calendar clock may be off. design 9.1 */
    private Commands.Accept stamped(Commands.Accept a) {
        Instant now = env.times().wall();
        return new Commands.Accept(
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
            Duration now = env.times().mono();
            nodeUnits.fill(now, 0);
            b.units().fill(now, 0);
            if (nodeUnits.level() < units || !b.units().take(units)) {
                return false;
            }
            return nodeUnits.take(units);
        }
    }

    private Mono<Message> status(MessagePartition b, Commands.StatusAsk a) {
        return b.replica()
                .read(i -> b.machine().get(a.handle()).filter(m -> m.tenant().equals(a.tenant())))
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
                look();
            }
        });
        looking = env.schedules().every(Duration.ofMillis(200), this::look);
    }

    private void open(String part, List<String> wanted) throws ServiceException {
        MessageStateMachine m = new MessageStateMachine(part, env.codec());
        Replica r = new Replica(part, wanted, m, env);
        r.start(env.wal().recovered().getOrDefault(part, List.of()));
        MessagePartition b = new MessagePartition(
                part, r, m, Bucket.full(partAllowance, env.times().mono()));
        partitions.put(part, b);
        onOpen.accept(b);
    }

    private synchronized void look() {
        Map<String, List<String>> placement =
                new HashMap<>(subscriptions.latest(ServiceNames.STORES).placement());
        placement.forEach((part, copies) -> {
            Optional<MessagePartition> b = Optional.ofNullable(partitions.get(part));
            if (b.isPresent()) {
                b.get().replica().want(copies);
            } else if (copies.contains(env.self())) {
                try {
                    open(part, copies);
                } catch (ServiceException e) {
                    LOG.error("berth: the part {} did not open: {}", part, e.getMessage());
                }
            }
        });
        partitions.values().forEach(b -> {
            forget(b);
            spread(b, placement.getOrDefault(b.part(), List.of()));
        });
    }

    private void forget(MessagePartition b) {
        var limit = env.times().wall().minus(retention);
        var unclear = env.times().wall().minus(UNCLEAR_RETENTION);
        if (b.replica().mayAct()
                && b.replica()
                        .look(i -> b.machine()
                                .anyEndedBefore(
                                        limit.minusSeconds(MAX_FORGET_LAG_S),
                                        unclear.minusSeconds(MAX_FORGET_LAG_S)))) {
            b.replica()
                    .propose(new Commands.Forget(limit, unclear), Commands.Forgotten.class)
                    .subscribe(f -> {}, e -> {});
        }
    }

    /** The first of the placement owns once it is up to date; a draining node gives all away. */
    private void spread(MessagePartition b, List<String> copies) {
        if (b.replica().phase() != Phase.OWNING) {
            return;
        }
        b.replica()
                .successor()
                .filter(h -> draining || (!copies.isEmpty() && h.equals(copies.get(0))))
                .ifPresent(h -> {
                    if (b.replica().transferLeadership(h)) {
                        LOG.info("berth: hands {} over to {}.", b.part(), h);
                    }
                });
    }

    public boolean drain() {
        draining = true;
        partitions.values().forEach(b -> b.replica().unwilling());
        partitions.values().forEach(b -> spread(b, List.of()));
        return partitions.values().stream().noneMatch(b -> b.replica().phase() == Phase.OWNING);
    }

    public Map<String, MessagePartition> all() {
        return partitions;
    }

    public void stop() {
        looking.cancel();
        partitions.values().forEach(b -> b.replica().stop());
    }
}

package org.woadvale.dataplane.ingress;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.error.ConflictException;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.runtime.Delays;
import org.woadvale.dataplane.ConfigurationView;
import org.woadvale.dataplane.delivery.PartitionClient;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/**
 * Pulls by processors that are not in the registry: messages are handed out under a lease. (docs/design.md, section
 * 9.10)
 */
public final class PullService {
    private static final int RANDOM_RANGE = 1 << 16;
    private static final Duration LEASE_CALL_TIMEOUT = Duration.ofSeconds(2);
    /** How long a fetch waits at one store before it goes on to the next. */
    private static final Duration POLL_WAIT = Duration.ofMillis(100);
    /** How long a fetch waits at a store in the zone of this node. */
    private static final Duration LOCAL_POLL_WAIT = Duration.ofMillis(300);

    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** Identifies the lease of a processor: the handle of the message and the number of the attempt. */
    public record LeaseId(String handle, int attempt) {
        /** Returns the lease of a message that was handed out. */
        public static LeaseId of(Message message) {
            return new LeaseId(message.handle(), message.attempt());
        }

        /** Returns the text form that processors receive. */
        public String format() {
            return handle + "." + attempt;
        }

        /** Parses the text form; empty if it was never issued by this system. */
        public static Optional<LeaseId> parse(String text) {
            if (!text.matches("m[0-9]{1,4}-[0-9]{1,18}\\.[0-9]{1,9}")) {
                return Optional.empty();
            }
            LeaseId leaseId = new LeaseId(
                    text.substring(0, text.indexOf('.')), Integer.parseInt(text.substring(text.indexOf('.') + 1)));
            return Optional.of(leaseId)
                    .filter(lease -> ServiceNames.messagePartitions().contains(lease.partition()));
        }

        String partition() {
            return handle.substring(0, handle.indexOf('-'));
        }
    }

    private final NodeEnvironment environment;
    private final ViewSubscriptions subscriptions;
    private final ConfigurationView configurations;
    private final PartitionClient forwarder;
    private final String zone;
    private final BooleanSupplier draining;

    /** Serves pulls through one node. */
    public PullService(
            NodeEnvironment environment,
            ViewSubscriptions subscriptions,
            ConfigurationView configurations,
            PartitionClient forwarder,
            String zone,
            BooleanSupplier draining) {
        this.zone = zone;
        this.environment = environment;
        this.subscriptions = subscriptions;
        this.configurations = configurations;
        this.forwarder = forwarder;
        this.draining = draining;
    }

    /**
     * Returns one message for the processor, or empty after the wait. A message that arrives after the caller has
     * cancelled is returned to its queue without counting as an attempt.
     */
    public Mono<Message> fetch(String service, String processor, Duration wait) {
        return Mono.create(sink -> {
            AtomicBoolean cancelled = new AtomicBoolean();
            sink.onCancel(() -> cancelled.set(true));
            Duration until = environment.clock().monotonicTime().plus(wait);
            int first = (int) Math.floorMod(environment.random().getAsLong(), RANDOM_RANGE);
            pullRound(service, processor, until, first, first, cancelled)
                    .subscribe(
                            message -> {
                                if (cancelled.get()) {
                                    end(LeaseId.of(message), MessageCommands.AttemptOutcome.NOT_SENT, "nobody took it")
                                            .subscribe(x -> {}, e -> {});
                                } else {
                                    sink.success(message);
                                }
                            },
                            sink::error,
                            sink::success);
        });
    }

    private Mono<Message> pullRound(
            String service, String processor, Duration until, int first, int round, AtomicBoolean cancelled) {
        Duration remaining = until.minus(environment.clock().monotonicTime());
        // on a draining intake a fetch waits at one store only
        if (remaining.toMillis() < 1 || cancelled.get() || round != first && draining.getAsBoolean()) {
            return Mono.empty();
        }
        List<String> stores = stores();
        boolean fetchable = configurations
                .fresh()
                .map(current -> current.configuration().services().get(service))
                .filter(config -> config.kind() == Configuration.Kind.FETCHERS)
                .isPresent();
        Mono<Message> next = Mono.defer(() -> pullRound(service, processor, until, first, round + 1, cancelled));
        if (!fetchable || stores.isEmpty()) {
            return Delays.delay(environment.timers(), min(remaining, RETRY_DELAY))
                    .then(next);
        }
        String store = stores.get((round - first) % stores.size());
        Duration storeWait = min(remaining, isPreferred(store) ? LOCAL_POLL_WAIT : POLL_WAIT);
        return forwarder
                .callStore(
                        store,
                        deadline -> new MessageCommands.LongPullRequest(
                                service, processor, deadline, storeWait.toMillis(), zone),
                        MessageCommands.LongPullResponse.class,
                        storeWait)
                .flatMap(response -> response.messages().isEmpty()
                        ? Mono.<Message>empty()
                        : Mono.just(response.messages().get(0)))
                .onErrorResume(e -> Delays.delay(environment.timers(), min(remaining, RETRY_DELAY))
                        .then(Mono.<Message>empty()))
                .switchIfEmpty(next);
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /** Whether the store is in the zone of this node and does not leave: a leaving store hands its partitions over. */
    private boolean isPreferred(String store) {
        return Optional.ofNullable(
                        subscriptions.latest(ServiceNames.STORES).members().get(store))
                .filter(lease -> lease.zone().equals(zone) && !lease.leaving())
                .isPresent();
    }

    /** Returns the stores, those in the zone of this node first, unless they leave. */
    private List<String> stores() {
        TreeSet<String> all = new TreeSet<>();
        subscriptions.latest(ServiceNames.STORES).placement().values().forEach(all::addAll);
        all.retainAll(subscriptions.latest(ServiceNames.STORES).members().keySet());
        List<String> out = new ArrayList<>(all);
        out.sort(Comparator.comparing(store -> !isPreferred(store)));
        return out;
    }

    /** Extends a lease; fails with CONFLICT if it no longer exists. */
    public Mono<Boolean> extend(LeaseId lease) {
        return forwarder
                .call(
                        lease.partition(),
                        new MessageCommands.ExtendLeaseRequest(lease.partition(), lease.handle(), lease.attempt()),
                        ControlMessages.UpdateResult.class,
                        LEASE_CALL_TIMEOUT)
                .map(ControlMessages.UpdateResult::accepted)
                .onErrorMap(PullService::toConflict);
    }

    /**
     * Ends a lease with an outcome. The first outcome is final; a repeat of it is accepted again. Fails with CONFLICT if
     * the lease no longer exists.
     */
    public Mono<Boolean> end(LeaseId lease, MessageCommands.AttemptOutcome outcome, String note) {
        Instant now = environment.clock().wallTime();
        MessageCommands.End end = new MessageCommands.End(lease.handle(), lease.attempt(), outcome, note, now, now);
        return forwarder
                .call(
                        lease.partition(),
                        new MessageCommands.EndLeaseRequest(lease.partition(), end),
                        MessageCommands.TransitionResult.class,
                        LEASE_CALL_TIMEOUT)
                .map(MessageCommands.TransitionResult::applied)
                .onErrorMap(PullService::toConflict);
    }

    private static Throwable toConflict(Throwable e) {
        return ServiceException.of(e).kind() == ErrorKind.NOT_FOUND ? new ConflictException("The lease is gone.") : e;
    }
}

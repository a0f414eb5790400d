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
import org.woadvale.dataplane.delivery.SubmitForwarder;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/** Fetches by processors that are on no list: work is handed out with a lease. (docs/design.md, section 9.10) */
public final class PullService {
    private static final int RANDOM_RANGE = 1 << 16;
    private static final Duration LIMIT = Duration.ofSeconds(2);
    /** A fetch waits at one store for so long, then at the next. */
    private static final Duration TURN = Duration.ofMillis(100);
    /** At a store of its own zone. */
    private static final Duration NEAR = Duration.ofMillis(300);

    private static final Duration AGAIN = Duration.ofMillis(100);

    /** What a processor says of its lease: the handle, and the attempt that it has. */
    public record LeaseId(String handle, int attempt) {
        /** The lease of a message that was handed out. */
        public static LeaseId of(Message message) {
            return new LeaseId(message.handle(), message.attempt());
        }

        /** The text that a processor is given. */
        public String format() {
            return handle + "." + attempt;
        }

        /** Empty where it was never one of ours. */
        public static Optional<LeaseId> parse(String word) {
            if (!word.matches("m[0-9]{1,4}-[0-9]{1,18}\\.[0-9]{1,9}")) {
                return Optional.empty();
            }
            LeaseId leaseId = new LeaseId(
                    word.substring(0, word.indexOf('.')), Integer.parseInt(word.substring(word.indexOf('.') + 1)));
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
    private final SubmitForwarder forwarder;
    private final String zone;
    private final BooleanSupplier draining;

    /** Pulls by way of one node. */
    public PullService(
            NodeEnvironment environment,
            ViewSubscriptions subscriptions,
            ConfigurationView configurations,
            SubmitForwarder forwarder,
            String zone,
            BooleanSupplier draining) {
        this.zone = zone;
        this.environment = environment;
        this.subscriptions = subscriptions;
        this.configurations = configurations;
        this.forwarder = forwarder;
        this.draining = draining;
    }

    /** One message for the processor, or empty after the wait. What nobody takes any more is given back unrun. */
    public Mono<Message> fetch(String service, String processor, Duration wait) {
        return Mono.create(sink -> {
            AtomicBoolean gone = new AtomicBoolean();
            sink.onCancel(() -> gone.set(true));
            Duration until = environment.clock().monotonicTime().plus(wait);
            int first = (int) Math.floorMod(environment.random().getAsLong(), RANDOM_RANGE);
            pullRound(service, processor, until, first, first, gone)
                    .subscribe(
                            message -> {
                                if (gone.get()) {
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
            String service, String processor, Duration until, int first, int n, AtomicBoolean gone) {
        Duration left = until.minus(environment.clock().monotonicTime());
        // a draining intake lets nobody wait for longer than one turn
        if (left.toMillis() < 1 || gone.get() || n != first && draining.getAsBoolean()) {
            return Mono.empty();
        }
        List<String> stores = stores();
        boolean known = configurations
                .fresh()
                .map(k -> k.configuration().services().get(service))
                .filter(s -> s.kind() == Configuration.Kind.FETCHERS)
                .isPresent();
        Mono<Message> next = Mono.defer(() -> pullRound(service, processor, until, first, n + 1, gone));
        if (!known || stores.isEmpty()) {
            return Delays.delay(environment.timers(), least(left, AGAIN)).then(next);
        }
        String store = stores.get((n - first) % stores.size());
        Duration here = least(left, near(store) ? NEAR : TURN);
        return forwarder
                .callStore(
                        store,
                        deadline -> new MessageCommands.LongPullRequest(
                                service, processor, deadline, here.toMillis(), zone),
                        MessageCommands.LongPullResponse.class,
                        here)
                .flatMap(response -> response.messages().isEmpty()
                        ? Mono.<Message>empty()
                        : Mono.just(response.messages().get(0)))
                .onErrorResume(e ->
                        Delays.delay(environment.timers(), least(left, AGAIN)).then(Mono.<Message>empty()))
                .switchIfEmpty(next);
    }

    private static Duration least(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    private boolean near(String store) {
        return Optional.ofNullable(
                        subscriptions.latest(ServiceNames.STORES).members().get(store))
                .filter(lease -> lease.zone().equals(zone))
                .isPresent();
    }

    /** Those of our own zone first. */
    private List<String> stores() {
        TreeSet<String> all = new TreeSet<>();
        subscriptions.latest(ServiceNames.STORES).placement().values().forEach(all::addAll);
        all.retainAll(subscriptions.latest(ServiceNames.STORES).members().keySet());
        List<String> out = new ArrayList<>(all);
        out.sort(Comparator.comparing(s -> !near(s)));
        return out;
    }

    /** Fails with CONFLICT where the lease is gone. */
    public Mono<Boolean> extend(LeaseId lease) {
        return forwarder
                .call(
                        lease.partition(),
                        new MessageCommands.ExtendLeaseRequest(lease.partition(), lease.handle(), lease.attempt()),
                        ControlMessages.UpdateResult.class,
                        LIMIT)
                .map(ControlMessages.UpdateResult::accepted)
                .onErrorMap(PullService::leaseGone);
    }

    /** Taken once and for all; the same end said again is taken again. Fails with CONFLICT where the lease is gone. */
    public Mono<Boolean> end(LeaseId lease, MessageCommands.AttemptOutcome ending, String word) {
        Instant now = environment.clock().wallTime();
        MessageCommands.End end = new MessageCommands.End(lease.handle(), lease.attempt(), ending, word, now, now);
        return forwarder
                .call(
                        lease.partition(),
                        new MessageCommands.EndLeaseRequest(lease.partition(), end),
                        MessageCommands.TransitionResult.class,
                        LIMIT)
                .map(MessageCommands.TransitionResult::applied)
                .onErrorMap(PullService::leaseGone);
    }

    private static Throwable leaseGone(Throwable e) {
        return ServiceException.of(e).kind() == ErrorKind.NOT_FOUND ? new ConflictException("The lease is gone.") : e;
    }
}

package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.woadvale.common.error.ForbiddenException;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;
import org.woadvale.dataplane.queue.RouteTerms;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** All dispatchersByPart of a store, and the fetching side of delivery (docs/design.md, section 9.3 and 9.4). */
public final class Dispatchers {
    private static final int MAX_SCANNED = 64;
    private final DispatchContext context;
    private static final Duration TICK = Duration.ofMillis(20);
    private final WaitingPulls waitingPulls;
    private TimerHandle ticking = () -> {};
    private final AtomicInteger turns = new AtomicInteger();
    private final Map<String, Dispatcher> dispatchersByPartition = new ConcurrentHashMap<>();

    /** Without any partition. */
    public Dispatchers(DispatchContext context) {
        this.context = context;
        this.waitingPulls = new WaitingPulls(context, dispatchersByPartition);
    }

    /** A partition was opened on this store. */
    public void opened(MessagePartition partition) {
        Dispatcher dispatcher = new Dispatcher(context, partition);
        dispatchersByPartition.put(partition.id(), dispatcher);
    }

    /** Dispatches until {@link #stop}. */
    public void start() {
        ticking = context.environment().timers().every(TICK, () -> {
            waitingPulls.onTick();
            dispatchersByPartition.values().forEach(Dispatcher::onTick);
        });
    }

    /** Whether no delivery is in flight. */
    public boolean idle() {
        return dispatchersByPartition.values().stream().allMatch(Dispatcher::idle);
    }

    /** Begins no delivery any more. */
    public void stop() {
        ticking.cancel();
    }

    /** What a store answers to intakes and other stores about deliveries. */
    public void route(RpcRouter router) {
        waitingPulls.route(router);
        router.on(
                        MessageCommands.FetchRequest.class,
                        (f, request) -> context.partitions()
                                .partition(request.partition())
                                .flatMap(partition -> context.partitions()
                                        .requireBefore(request.deadline())
                                        .then(Mono.defer(() -> fetch(partition, request)))))
                .on(
                        MessageCommands.OutcomeReport.class,
                        (f, report) -> context.partitions()
                                .partition(report.partition())
                                .flatMap(partition -> outcome(partition, report)));
    }

    /** A processor speaks only for its own service and its own attempts; an empty service is one of us. */
    private Mono<MessageCommands.TransitionResult> outcome(
            MessagePartition partition, MessageCommands.OutcomeReport report) {
        return partition
                .replica()
                .read(i -> partition.stateMachine().get(report.end().handle()))
                .flatMap(message -> {
                    if (message.isPresent()
                            && !report.service().isEmpty()
                            && (!terms(message.get()).service().equals(report.service())
                                    || report.end().attempt() == message.get().attempt()
                                            && !report.processor()
                                                    .equals(message.get().processor()))) {
                        return Mono.error(
                                new ForbiddenException("This attempt was not given to " + report.processor() + "."));
                    }
                    if (report.end().outcome() == MessageCommands.AttemptOutcome.RETRY
                            && message.isPresent()
                            && !report.service().isEmpty()
                            && message.get().attemptsMade()
                                    >= terms(message.get()).attempts()) {
                        MessageCommands.End end = report.end();
                        return partition
                                .replica()
                                .propose(
                                        new MessageCommands.End(
                                                end.handle(),
                                                end.attempt(),
                                                MessageCommands.AttemptOutcome.FAILED,
                                                "attempts used up",
                                                end.due(),
                                                end.at()),
                                        MessageCommands.TransitionResult.class);
                    }
                    return partition.replica().propose(report.end(), MessageCommands.TransitionResult.class);
                });
    }

    private Mono<MessageCommands.FetchResponse> fetch(
            MessagePartition partition, MessageCommands.FetchRequest request) {
        return partition.replica().read(i -> i).flatMap(i -> {
            if (!mayReceive(request)) {
                return Mono.error(new ForbiddenException("The processor " + request.processor()
                        + " is not listed, is leaving, or the list is not proven fresh."));
            }
            if (request.repeated()) {
                return Mono.just(new MessageCommands.FetchResponse(deliveredBefore(partition, request)));
            }
            return Flux.fromIterable(candidates(partition, request.service()))
                    .take(request.limit())
                    .concatMap(message -> start(partition, message, request))
                    .collectList()
                    .map(MessageCommands.FetchResponse::new);
        });
    }

    /** What this very fetch was given, for a processor that did not get the answer: the same attempts. */
    private List<Message> deliveredBefore(MessagePartition partition, MessageCommands.FetchRequest request) {
        Instant now = context.environment().clock().wallTime();
        return partition
                .replica()
                .inspect(i -> partition.stateMachine().running().stream()
                        .filter(message -> message.processor().equals(request.processor())
                                && message.destination().equals(ProcessorStatus.PULLED + request.fetchId())
                                && message.deadline().isAfter(now))
                        .toList());
    }

    private boolean mayReceive(MessageCommands.FetchRequest request) {
        Optional<Processor> processor = context.subscriptions()
                .fresh(ServiceNames.processors(request.service()))
                .map(view -> view.processors().get(request.processor()));
        return processor.isPresent()
                && !processor.get().leaving()
                && processor.get().address().isEmpty();
    }

    private List<Message> candidates(MessagePartition partition, String service) {
        int turn = turns.incrementAndGet();
        Instant now = context.environment().clock().wallTime();
        List<Message> out = new ArrayList<>();
        partition.replica().inspect(i -> {
            partition
                    .stateMachine()
                    .ready()
                    .lanes()
                    .forEach(lane -> out.addAll(partition
                            .stateMachine()
                            .ready()
                            .due(
                                    lane,
                                    now,
                                    MAX_SCANNED,
                                    turn,
                                    message -> terms(message).service().equals(service))));
            return out;
        });
        return out;
    }

    private RouteTerms terms(Message message) {
        return context.configurations()
                .fresh()
                .flatMap(known ->
                        Optional.ofNullable(known.configuration().lanes().get(message.lane())))
                .map(RouteTerms::of)
                .orElse(message.terms());
    }

    /** The attempt is committed before the answer; all is checked again when it is handed out. */
    private Mono<Message> start(MessagePartition partition, Message message, MessageCommands.FetchRequest request) {
        Instant now = context.environment().clock().wallTime();
        if (now.isAfter(message.from().plusMillis(terms(message).timeLimitMs()))
                || context.configurations().fresh().isEmpty()) {
            return Mono.empty();
        }
        Optional<DeliveryPermit> permit = DeliveryPermit.draw(context, partition, message, request.service());
        if (permit.isEmpty()) {
            return Mono.empty();
        }
        MessageCommands.Start start = new MessageCommands.Start(
                message.handle(),
                message.attempt() + 1,
                request.processor(),
                now.plusMillis(terms(message).attemptMs()),
                now,
                ProcessorStatus.PULLED + request.fetchId());
        return partition
                .replica()
                .propose(start, MessageCommands.TransitionResult.class)
                .doOnError(e -> permit.get().release())
                .onErrorResume(e -> Mono.empty())
                .flatMap(result -> handOut(partition, request, permit.get(), result, now));
    }

    private Mono<Message> handOut(
            MessagePartition partition,
            MessageCommands.FetchRequest request,
            DeliveryPermit permit,
            MessageCommands.TransitionResult started,
            Instant now) {
        if (!started.applied()) {
            permit.release();
            return Mono.empty();
        }
        if (mayReceive(request) && partition.replica().isActiveLeader() && permit.spend()) {
            return Mono.just(started.message());
        }
        permit.release();
        MessageCommands.End end = new MessageCommands.End(
                started.message().handle(),
                started.message().attempt(),
                MessageCommands.AttemptOutcome.NOT_SENT,
                "not sent",
                now,
                now);
        return context.recorder()
                .record(partition.id(), end, request.processor())
                .then(Mono.empty());
    }
}

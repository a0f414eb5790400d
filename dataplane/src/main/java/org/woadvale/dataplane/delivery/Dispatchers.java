package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;
import org.woadvale.dataplane.queue.RouteTerms;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** All dispatchersByPart of a store, and the fetching side of delivery: design 9.3 and 9.4. */
public final class Dispatchers {
    private static final int MAX_SCANNED = 64;
    private final DispatchContext context;
    private static final Duration TICK = Duration.ofMillis(20);
    private final WaitingPulls waitingPulls;
    private TimerHandle ticking = () -> {};
    private final AtomicInteger turns = new AtomicInteger();
    private final Map<String, Dispatcher> dispatchersByPartition = new ConcurrentHashMap<>();

    public Dispatchers(DispatchContext context) {
        this.context = context;
        this.waitingPulls = new WaitingPulls(context, dispatchersByPartition);
    }

    public void opened(MessagePartition b) {
        Dispatcher l = new Dispatcher(context, b);
        dispatchersByPartition.put(b.id(), l);
    }

    public void start() {
        ticking = context.environment().timers().every(TICK, () -> {
            waitingPulls.onTick();
            dispatchersByPartition.values().forEach(Dispatcher::onTick);
        });
    }

    public boolean idle() {
        return dispatchersByPartition.values().stream().allMatch(Dispatcher::idle);
    }

    public void stop() {
        ticking.cancel();
    }

    public void route(RpcRouter router) {
        waitingPulls.route(router);
        router.on(
                        MessageCommands.FetchRequest.class,
                        (f, a) -> context.partitions()
                                .partition(a.partition())
                                .flatMap(b -> context.partitions()
                                        .requireBefore(a.deadline())
                                        .then(Mono.defer(() -> fetch(b, a)))))
                .on(
                        MessageCommands.OutcomeReport.class,
                        (f, a) -> context.partitions().partition(a.partition()).flatMap(b -> outcome(b, a)));
    }

    /** A processor speaks only for its own service and its own attempts; an empty service is one of us. */
    private Mono<MessageCommands.TransitionResult> outcome(MessagePartition b, MessageCommands.OutcomeReport a) {
        return b.replica().read(i -> b.stateMachine().get(a.end().handle())).flatMap(m -> {
            if (m.isPresent()
                    && !a.service().isEmpty()
                    && (!terms(m.get()).service().equals(a.service())
                            || a.end().attempt() == m.get().attempt()
                                    && !a.processor().equals(m.get().processor()))) {
                return Mono.error(new ServiceException(
                        ErrorKind.FORBIDDEN, "This attempt was not given to " + a.processor() + "."));
            }
            if (a.end().outcome() == MessageCommands.AttemptOutcome.RETRY
                    && m.isPresent()
                    && !a.service().isEmpty()
                    && m.get().attemptsMade() >= terms(m.get()).attempts()) {
                MessageCommands.End e = a.end();
                return b.replica()
                        .propose(
                                new MessageCommands.End(
                                        e.handle(),
                                        e.attempt(),
                                        MessageCommands.AttemptOutcome.FAILED,
                                        "attempts used up",
                                        e.due(),
                                        e.at()),
                                MessageCommands.TransitionResult.class);
            }
            return b.replica().propose(a.end(), MessageCommands.TransitionResult.class);
        });
    }

    private Mono<MessageCommands.FetchResponse> fetch(MessagePartition b, MessageCommands.FetchRequest a) {
        return b.replica().read(i -> i).flatMap(i -> {
            if (!mayReceive(a)) {
                return Mono.error(new ServiceException(
                        ErrorKind.FORBIDDEN,
                        "The processor " + a.processor()
                                + " is not listed, is leaving, or the list is not proven fresh."));
            }
            if (a.repeated()) {
                return Mono.just(new MessageCommands.FetchResponse(deliveredBefore(b, a)));
            }
            return Flux.fromIterable(candidates(b, a.service()))
                    .take(a.limit())
                    .concatMap(m -> start(b, m, a))
                    .collectList()
                    .map(MessageCommands.FetchResponse::new);
        });
    }

    /** What this very fetch was given, for a processor that did not get the answer: the same attempts. */
    private List<Message> deliveredBefore(MessagePartition b, MessageCommands.FetchRequest a) {
        var now = context.environment().clock().wallTime();
        return b.replica()
                .look(i -> b.stateMachine().running().stream()
                        .filter(m -> m.processor().equals(a.processor())
                                && m.destination().equals(ProcessorStatus.PULLED + a.fetchId())
                                && m.deadline().isAfter(now))
                        .toList());
    }

    private boolean mayReceive(MessageCommands.FetchRequest a) {
        Optional<Processor> p = context.subscriptions()
                .fresh(ServiceNames.processors(a.service()))
                .map(v -> v.processors().get(a.processor()));
        return p.isPresent() && !p.get().leaving() && p.get().address().isEmpty();
    }

    private List<Message> candidates(MessagePartition b, String service) {
        int turn = turns.incrementAndGet();
        var now = context.environment().clock().wallTime();
        List<Message> out = new ArrayList<>();
        b.replica().look(i -> {
            b.stateMachine()
                    .ready()
                    .lanes()
                    .forEach(lane -> out.addAll(b.stateMachine()
                            .ready()
                            .due(
                                    lane,
                                    now,
                                    MAX_SCANNED,
                                    turn,
                                    m -> terms(m).service().equals(service))));
            return out;
        });
        return out;
    }

    private RouteTerms terms(Message m) {
        return context.configurations()
                .fresh()
                .flatMap(k -> Optional.ofNullable(k.configuration().lanes().get(m.lane())))
                .map(RouteTerms::of)
                .orElse(m.terms());
    }

    /** The attempt is committed before the answer; all is checked again at processor-out. */
    private Mono<Message> start(MessagePartition b, Message m, MessageCommands.FetchRequest a) {
        var now = context.environment().clock().wallTime();
        if (now.isAfter(m.from().plusMillis(terms(m).timeLimitMs()))
                || context.configurations().fresh().isEmpty()) {
            return Mono.empty();
        }
        Optional<DeliveryPermit> permit = DeliveryPermit.draw(context, b, m, a.service());
        if (permit.isEmpty()) {
            return Mono.empty();
        }
        MessageCommands.Start s = new MessageCommands.Start(
                m.handle(),
                m.attempt() + 1,
                a.processor(),
                now.plusMillis(terms(m).attemptMs()),
                now,
                ProcessorStatus.PULLED + a.fetchId());
        return b.replica()
                .propose(s, MessageCommands.TransitionResult.class)
                .doOnError(e -> permit.get().release())
                .onErrorResume(e -> Mono.empty())
                .flatMap(c -> {
                    if (!c.applied()) {
                        permit.get().release();
                        return Mono.empty();
                    }
                    if (!mayReceive(a)
                            || !b.replica().isActiveLeader()
                            || !permit.get().spend()) {
                        permit.get().release();
                        MessageCommands.End e = new MessageCommands.End(
                                m.handle(),
                                m.attempt() + 1,
                                MessageCommands.AttemptOutcome.NOT_SENT,
                                "not sent",
                                now,
                                now);
                        return context.recorder()
                                .record(b.id(), e, a.processor())
                                .then(Mono.<Message>empty());
                    }
                    return Mono.just(c.message());
                });
    }
}

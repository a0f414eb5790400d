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
import org.woadvale.dataplane.queue.Commands;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;
import org.woadvale.dataplane.queue.RouteTerms;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** All dispatchersByPart of a store, and the fetching side of delivery: design 9.3 and 9.4. */
public final class Dispatchers {
    private static final int SCAN = 64;
    private final DispatchContext context;
    private static final Duration LOOK = Duration.ofMillis(20);
    private final WaitingPulls waitingPulls;
    private TimerHandle looking = () -> {};
    private final AtomicInteger turns = new AtomicInteger();
    private final Map<String, Dispatcher> dispatchersByPart = new ConcurrentHashMap<>();

    public Dispatchers(DispatchContext context) {
        this.context = context;
        this.waitingPulls = new WaitingPulls(context, dispatchersByPart);
    }

    public void opened(MessagePartition b) {
        Dispatcher l = new Dispatcher(context, b);
        dispatchersByPart.put(b.part(), l);
    }

    public void start() {
        looking = context.env().schedules().every(LOOK, () -> {
            waitingPulls.look();
            dispatchersByPart.values().forEach(Dispatcher::look);
        });
    }

    public boolean idle() {
        return dispatchersByPart.values().stream().allMatch(Dispatcher::idle);
    }

    public void stop() {
        looking.cancel();
    }

    public void route(RpcRouter router) {
        waitingPulls.route(router);
        router.on(
                        Commands.FetchAsk.class,
                        (f, a) -> context.partitions()
                                .at(a.part())
                                .flatMap(b ->
                                        context.partitions().timely(a.until()).then(Mono.defer(() -> fetch(b, a)))))
                .on(
                        Commands.OutcomeAsk.class,
                        (f, a) -> context.partitions().at(a.part()).flatMap(b -> outcome(b, a)));
    }

    /** A processor speaks only for its own service and its own attempts; an empty service is one of us. */
    private Mono<Commands.Changed> outcome(MessagePartition b, Commands.OutcomeAsk a) {
        return b.replica().read(i -> b.machine().get(a.end().handle())).flatMap(m -> {
            if (m.isPresent()
                    && !a.service().isEmpty()
                    && (!terms(m.get()).service().equals(a.service())
                            || a.end().attempt() == m.get().attempt()
                                    && !a.processor().equals(m.get().processor()))) {
                return Mono.error(new ServiceException(
                        ErrorKind.FORBIDDEN, "This attempt was not given to " + a.processor() + "."));
            }
            if (a.end().ending() == Commands.Ending.RETRY
                    && m.isPresent()
                    && !a.service().isEmpty()
                    && m.get().tries() >= terms(m.get()).attempts()) {
                Commands.End e = a.end();
                return b.replica()
                        .propose(
                                new Commands.End(
                                        e.handle(),
                                        e.attempt(),
                                        Commands.Ending.FAILED,
                                        "attempts used up",
                                        e.due(),
                                        e.at()),
                                Commands.Changed.class);
            }
            return b.replica().propose(a.end(), Commands.Changed.class);
        });
    }

    private Mono<Commands.Fetched> fetch(MessagePartition b, Commands.FetchAsk a) {
        return b.replica().read(i -> i).flatMap(i -> {
            if (!mayReceive(a)) {
                return Mono.error(new ServiceException(
                        ErrorKind.FORBIDDEN,
                        "The processor " + a.processor()
                                + " is not listed, is leaving, or the list is not proven fresh."));
            }
            if (a.again()) {
                return Mono.just(new Commands.Fetched(handedBefore(b, a)));
            }
            return Flux.fromIterable(candidates(b, a.service()))
                    .take(a.most())
                    .concatMap(m -> start(b, m, a))
                    .collectList()
                    .map(Commands.Fetched::new);
        });
    }

    /** What this very fetch was given, for a processor that did not get the answer: the same attempts. */
    private List<Message> handedBefore(MessagePartition b, Commands.FetchAsk a) {
        var now = context.env().times().wall();
        return b.replica()
                .look(i -> b.machine().running().stream()
                        .filter(m -> m.processor().equals(a.processor())
                                && m.where().equals(ProcessorStatus.FETCHED + a.fetch())
                                && m.deadline().isAfter(now))
                        .toList());
    }

    private boolean mayReceive(Commands.FetchAsk a) {
        Optional<Processor> p = context.subscriptions()
                .fresh(ServiceNames.processors(a.service()))
                .map(v -> v.processors().get(a.processor()));
        return p.isPresent() && !p.get().leaving() && p.get().address().isEmpty();
    }

    private List<Message> candidates(MessagePartition b, String service) {
        int turn = turns.incrementAndGet();
        var now = context.env().times().wall();
        List<Message> out = new ArrayList<>();
        b.replica().look(i -> {
            b.machine()
                    .startable()
                    .lanes()
                    .forEach(lane -> out.addAll(b.machine()
                            .startable()
                            .due(lane, now, SCAN, turn, m -> terms(m).service().equals(service))));
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
    private Mono<Message> start(MessagePartition b, Message m, Commands.FetchAsk a) {
        var now = context.env().times().wall();
        if (now.isAfter(m.from().plusMillis(terms(m).timeLimitMs()))
                || context.configurations().fresh().isEmpty()) {
            return Mono.empty();
        }
        Optional<DeliveryPermit> permit = DeliveryPermit.draw(context, b, m, a.service());
        if (permit.isEmpty()) {
            return Mono.empty();
        }
        Commands.Start s = new Commands.Start(
                m.handle(),
                m.attempt() + 1,
                a.processor(),
                now.plusMillis(terms(m).attemptMs()),
                now,
                ProcessorStatus.FETCHED + a.fetch());
        return b.replica()
                .propose(s, Commands.Changed.class)
                .doOnError(e -> permit.get().putBack())
                .onErrorResume(e -> Mono.empty())
                .flatMap(c -> {
                    if (!c.done()) {
                        permit.get().putBack();
                        return Mono.empty();
                    }
                    if (!mayReceive(a) || !b.replica().mayAct() || !permit.get().spend()) {
                        permit.get().putBack();
                        Commands.End e = new Commands.End(
                                m.handle(), m.attempt() + 1, Commands.Ending.NOT_SENT, "not sent", now, now);
                        return context.recorder()
                                .record(b.part(), e, a.processor())
                                .then(Mono.<Message>empty());
                    }
                    return Mono.just(c.message());
                });
    }
}

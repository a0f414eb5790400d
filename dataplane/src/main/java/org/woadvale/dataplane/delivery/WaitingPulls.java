package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.woadvale.common.error.NotLeaderException;
import org.woadvale.common.error.QueueFullException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Pulls that wait at this store until one of its partitions has work of their service (docs/design.md, section 9.10). */
final class WaitingPulls {
    private static final int MAX_WAITING = 4096;

    private record WaitingPull(MessageCommands.LongPullRequest request, Duration until, Sinks.One<Object> response) {}

    private final DispatchContext context;
    private final Map<String, Dispatcher> dispatchersByPartition;
    private final Map<String, Deque<WaitingPull>> waiting = new HashMap<>();
    private final Set<String> starting = ConcurrentHashMap.newKeySet();
    private int turn;

    WaitingPulls(DispatchContext context, Map<String, Dispatcher> dispatchersByPart) {
        this.context = context;
        this.dispatchersByPartition = dispatchersByPart;
    }

    void route(RpcRouter router) {
        router.on(
                        MessageCommands.LongPullRequest.class,
                        (f, request) -> context.partitions()
                                .requireBefore(request.deadline())
                                .then(Mono.defer(() -> await(request))))
                .on(
                        MessageCommands.ExtendLeaseRequest.class,
                        (f, request) -> leases(request.partition())
                                .flatMap(deliveryLeases -> deliveryLeases.extend(request))
                                .map(ok -> new ControlMessages.UpdateResult(true)))
                .on(
                        MessageCommands.EndLeaseRequest.class,
                        (f, request) -> leases(request.partition())
                                .flatMap(deliveryLeases -> deliveryLeases.end(request.end())));
    }

    private Mono<DeliveryLeases> leases(String partition) {
        return Mono.justOrEmpty(Optional.ofNullable(dispatchersByPartition.get(partition))
                        .map(Dispatcher::leases))
                .switchIfEmpty(Mono.error(new NotLeaderException("The part " + partition + " is not here.")));
    }

    private Duration now() {
        return context.environment().clock().monotonicTime();
    }

    private Mono<Object> await(MessageCommands.LongPullRequest request) {
        WaitingPull waitingPull = new WaitingPull(request, now().plusMillis(request.waitMs()), Sinks.one());
        synchronized (this) {
            Deque<WaitingPull> line = waiting.computeIfAbsent(request.service(), s -> new ArrayDeque<>());
            if (line.size() >= MAX_WAITING) {
                return Mono.error(new QueueFullException("Too many fetches wait here."));
            }
            line.add(waitingPull);
        }
        serve(request.service());
        return waitingPull.response().asMono();
    }

    /** Called by the store's one schedule: serves what is due now, and lets go of those whose time is over. */
    void onTick() {
        List<WaitingPull> over = new ArrayList<>();
        Set<String> services;
        synchronized (this) {
            waiting.values()
                    .forEach(line ->
                            line.removeIf(waiting -> now().compareTo(waiting.until()) >= 0 && over.add(waiting)));
            waiting.values().removeIf(Deque::isEmpty);
            services = new TreeSet<>(waiting.keySet());
        }
        over.forEach(waiting -> waiting.response().tryEmitValue(new MessageCommands.LongPullResponse(List.of())));
        services.forEach(this::serve);
    }

    /** Those of our own zone first: bytes between zones are dear. */
    private synchronized Optional<WaitingPull> take(String service) {
        Deque<WaitingPull> line = waiting.getOrDefault(service, new ArrayDeque<>());
        Optional<WaitingPull> near = line.stream()
                .filter(waiting -> waiting.request().zone().equals(context.zone()))
                .findFirst();
        near.ifPresent(line::remove);
        return near.or(() -> Optional.ofNullable(line.poll()));
    }

    private synchronized void requeue(WaitingPull waitingPull) {
        waiting.computeIfAbsent(waitingPull.request().service(), s -> new ArrayDeque<>())
                .addFirst(waitingPull);
    }

    private synchronized int count(String service) {
        return Optional.ofNullable(waiting.get(service)).map(Deque::size).orElse(0);
    }

    private void serve(String service) {
        List<Dispatcher> all = new ArrayList<>(dispatchersByPartition.values());
        Collections.rotate(all, turn++);
        for (Dispatcher dispatcher : all) {
            int most = count(service);
            if (most == 0) {
                return;
            }
            if (dispatcher.isLeader()) {
                dispatcher.leases().due(service, most, turn).forEach(message -> deliver(service, dispatcher, message));
            }
        }
    }

    private void deliver(String service, Dispatcher dispatcher, Message message) {
        if (!starting.add(message.handle())) {
            return;
        }
        Optional<WaitingPull> pull = take(service);
        if (pull.isEmpty()) {
            starting.remove(message.handle());
            return;
        }
        dispatcher
                .leases()
                .begin(message, pull.get().request().processor())
                .map(Optional::of)
                .defaultIfEmpty(Optional.empty())
                .onErrorReturn(Optional.empty())
                .doFinally(signal -> starting.remove(message.handle()))
                .subscribe(handedOut -> handedOut.ifPresentOrElse(
                        begun -> pull.get()
                                .response()
                                .tryEmitValue(new MessageCommands.LongPullResponse(List.of(begun))),
                        () -> requeue(pull.get())));
    }
}

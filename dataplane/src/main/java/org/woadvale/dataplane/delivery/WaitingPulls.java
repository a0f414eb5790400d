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
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Fetches that wait at this store until one of its parts has work of their service: design 9.10. */
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
                        (f, a) ->
                                context.partitions().requireBefore(a.deadline()).then(Mono.defer(() -> await(a))))
                .on(
                        MessageCommands.ExtendLeaseRequest.class,
                        (f, a) -> leases(a.partition())
                                .flatMap(l -> l.extend(a))
                                .map(ok -> new org.woadvale.common.membership.ControlMessages.UpdateResult(true)))
                .on(
                        MessageCommands.EndLeaseRequest.class,
                        (f, a) -> leases(a.partition()).flatMap(l -> l.end(a.end())));
    }

    private Mono<DeliveryLeases> leases(String part) {
        return Mono.justOrEmpty(
                        Optional.ofNullable(dispatchersByPartition.get(part)).map(Dispatcher::leases))
                .switchIfEmpty(
                        Mono.error(new ServiceException(ErrorKind.NOT_OWNER, "The part " + part + " is not here.")));
    }

    private Duration now() {
        return context.environment().clock().monotonicTime();
    }

    private Mono<Object> await(MessageCommands.LongPullRequest a) {
        WaitingPull m = new WaitingPull(a, now().plusMillis(a.waitMs()), Sinks.one());
        synchronized (this) {
            Deque<WaitingPull> line = waiting.computeIfAbsent(a.service(), s -> new ArrayDeque<>());
            if (line.size() >= MAX_WAITING) {
                return Mono.error(new ServiceException(ErrorKind.QUEUE_FULL, "Too many fetches wait here."));
            }
            line.add(m);
        }
        serve(a.service());
        return m.response().asMono();
    }

    /** Called by the store's one schedule: serves what is due now, and lets go of those whose time is over. */
    void onTick() {
        List<WaitingPull> over = new ArrayList<>();
        Set<String> services;
        synchronized (this) {
            waiting.values().forEach(line -> line.removeIf(m -> now().compareTo(m.until()) >= 0 && over.add(m)));
            waiting.values().removeIf(Deque::isEmpty);
            services = new TreeSet<>(waiting.keySet());
        }
        over.forEach(m -> m.response().tryEmitValue(new MessageCommands.LongPullResponse(List.of())));
        services.forEach(this::serve);
    }

    /** Those of our own zone first: bytes between zones are dear. */
    private synchronized Optional<WaitingPull> take(String service) {
        Deque<WaitingPull> line = waiting.getOrDefault(service, new ArrayDeque<>());
        Optional<WaitingPull> near = line.stream()
                .filter(m -> m.request().zone().equals(context.zone()))
                .findFirst();
        near.ifPresent(line::remove);
        return near.or(() -> Optional.ofNullable(line.poll()));
    }

    private synchronized void requeue(WaitingPull m) {
        waiting.computeIfAbsent(m.request().service(), s -> new ArrayDeque<>()).addFirst(m);
    }

    private synchronized int count(String service) {
        return Optional.ofNullable(waiting.get(service)).map(Deque::size).orElse(0);
    }

    private void serve(String service) {
        List<Dispatcher> all = new ArrayList<>(dispatchersByPartition.values());
        Collections.rotate(all, turn++);
        for (Dispatcher l : all) {
            int most = count(service);
            if (most == 0) {
                return;
            }
            if (l.isLeader()) {
                l.leases().due(service, most, turn).forEach(m -> deliver(service, l, m));
            }
        }
    }

    private void deliver(String service, Dispatcher l, Message m) {
        if (!starting.add(m.handle())) {
            return;
        }
        Optional<WaitingPull> to = take(service);
        if (to.isEmpty()) {
            starting.remove(m.handle());
            return;
        }
        l.leases()
                .begin(m, to.get().request().processor())
                .map(Optional::of)
                .defaultIfEmpty(Optional.empty())
                .onErrorReturn(Optional.empty())
                .doFinally(s -> starting.remove(m.handle()))
                .subscribe(x -> x.ifPresentOrElse(
                        got -> to.get().response().tryEmitValue(new MessageCommands.LongPullResponse(List.of(got))),
                        () -> requeue(to.get())));
    }
}

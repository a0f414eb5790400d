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
import org.woadvale.dataplane.queue.Commands;
import org.woadvale.dataplane.queue.Message;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Fetches that wait at this store until one of its parts has work of their service: design 9.10. */
final class WaitingPulls {
    private static final int MOST = 4096;

    private record Moored(Commands.PullAsk ask, Duration until, Sinks.One<Object> out) {}

    private final DispatchContext context;
    private final Map<String, Dispatcher> dispatchersByPart;
    private final Map<String, Deque<Moored>> waiting = new HashMap<>();
    private final Set<String> starting = ConcurrentHashMap.newKeySet();
    private int turn;

    WaitingPulls(DispatchContext context, Map<String, Dispatcher> dispatchersByPart) {
        this.context = context;
        this.dispatchersByPart = dispatchersByPart;
    }

    void route(RpcRouter router) {
        router.on(
                        Commands.PullAsk.class,
                        (f, a) -> context.partitions().timely(a.until()).then(Mono.defer(() -> moor(a))))
                .on(
                        Commands.LeaseAsk.class,
                        (f, a) -> leases(a.part())
                                .flatMap(l -> l.extend(a))
                                .map(ok -> new org.woadvale.common.membership.ControlMessages.Done(true)))
                .on(Commands.LeaseEndAsk.class, (f, a) -> leases(a.part()).flatMap(l -> l.end(a.end())));
    }

    private Mono<Leases> leases(String part) {
        return Mono.justOrEmpty(Optional.ofNullable(dispatchersByPart.get(part)).map(Dispatcher::leases))
                .switchIfEmpty(
                        Mono.error(new ServiceException(ErrorKind.NOT_OWNER, "The part " + part + " is not here.")));
    }

    private Duration now() {
        return context.env().times().mono();
    }

    private Mono<Object> moor(Commands.PullAsk a) {
        Moored m = new Moored(a, now().plusMillis(a.waitMs()), Sinks.one());
        synchronized (this) {
            Deque<Moored> line = waiting.computeIfAbsent(a.service(), s -> new ArrayDeque<>());
            if (line.size() >= MOST) {
                return Mono.error(new ServiceException(ErrorKind.QUEUE_FULL, "Too many fetches wait here."));
            }
            line.add(m);
        }
        serve(a.service());
        return m.out().asMono();
    }

    /** Called by the store's one schedule: serves what is due now, and lets go of those whose time is over. */
    void look() {
        List<Moored> over = new ArrayList<>();
        Set<String> services;
        synchronized (this) {
            waiting.values().forEach(line -> line.removeIf(m -> now().compareTo(m.until()) >= 0 && over.add(m)));
            waiting.values().removeIf(Deque::isEmpty);
            services = new TreeSet<>(waiting.keySet());
        }
        over.forEach(m -> m.out().tryEmitValue(new Commands.Pulled(List.of())));
        services.forEach(this::serve);
    }

    /** Those of our own zone first: bytes between zones are dear. */
    private synchronized Optional<Moored> take(String service) {
        Deque<Moored> line = waiting.getOrDefault(service, new ArrayDeque<>());
        Optional<Moored> near =
                line.stream().filter(m -> m.ask().zone().equals(context.zone())).findFirst();
        near.ifPresent(line::remove);
        return near.or(() -> Optional.ofNullable(line.poll()));
    }

    private synchronized void putBack(Moored m) {
        waiting.computeIfAbsent(m.ask().service(), s -> new ArrayDeque<>()).addFirst(m);
    }

    private synchronized int count(String service) {
        return Optional.ofNullable(waiting.get(service)).map(Deque::size).orElse(0);
    }

    private void serve(String service) {
        List<Dispatcher> all = new ArrayList<>(dispatchersByPart.values());
        Collections.rotate(all, turn++);
        for (Dispatcher l : all) {
            int most = count(service);
            if (most == 0) {
                return;
            }
            if (l.owns()) {
                l.leases().due(service, most, turn).forEach(m -> give(service, l, m));
            }
        }
    }

    private void give(String service, Dispatcher l, Message m) {
        if (!starting.add(m.handle())) {
            return;
        }
        Optional<Moored> to = take(service);
        if (to.isEmpty()) {
            starting.remove(m.handle());
            return;
        }
        l.leases()
                .begin(m, to.get().ask().processor())
                .map(Optional::of)
                .defaultIfEmpty(Optional.empty())
                .onErrorReturn(Optional.empty())
                .doFinally(s -> starting.remove(m.handle()))
                .subscribe(x -> x.ifPresentOrElse(
                        got -> to.get().out().tryEmitValue(new Commands.Pulled(List.of(got))),
                        () -> putBack(to.get())));
    }
}

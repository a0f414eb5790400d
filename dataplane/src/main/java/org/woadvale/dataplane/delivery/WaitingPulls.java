package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.woadvale.common.error.NotLeaderException;
import org.woadvale.common.error.QueueFullException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.dataplane.delivery.PullQueue.WaitingPull;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessageCommands.LongPullResponse;
import reactor.core.publisher.Mono;

/**
 * Delivers messages that become due on this store to the long pulls that wait for them. (docs/design.md, section 9.10)
 */
final class WaitingPulls {
    private static final LongPullResponse NO_MESSAGE = new LongPullResponse(List.of());

    private final DispatchContext context;
    private final Map<String, Dispatcher> dispatchersByPartition;
    private final PullQueue queue;
    /** Handles of the messages for which a delivery lease is being started. */
    private final Set<String> starting = ConcurrentHashMap.newKeySet();

    private int rotation;

    WaitingPulls(DispatchContext context, Map<String, Dispatcher> dispatchersByPartition) {
        this.context = context;
        this.dispatchersByPartition = dispatchersByPartition;
        this.queue = new PullQueue(context.zone());
    }

    void route(RpcRouter router) {
        router.on(
                        MessageCommands.LongPullRequest.class,
                        (f, request) -> context.partitions()
                                .requireNotExpired(request.deadline())
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

    private Mono<LongPullResponse> await(MessageCommands.LongPullRequest request) {
        Optional<WaitingPull> pull = queue.add(request, now());
        if (pull.isEmpty()) {
            return Mono.error(new QueueFullException("Too many fetches wait here."));
        }
        serve(request.service());
        return pull.get().awaitResponse();
    }

    /** Called periodically by {@link Dispatchers}: answers expired pulls with no message and serves the others. */
    void onTick() {
        List<WaitingPull> expired = queue.removeExpired(now());
        Set<String> services = queue.services();
        expired.forEach(pull -> pull.respond(NO_MESSAGE));
        services.forEach(this::serve);
    }

    /** Gives due messages to the waiting pulls of a service; a different partition comes first each time. */
    private void serve(String service) {
        List<Dispatcher> dispatchers = new ArrayList<>(dispatchersByPartition.values());
        Collections.rotate(dispatchers, rotation++);
        for (Dispatcher dispatcher : dispatchers) {
            int wanted = queue.count(service);
            if (wanted == 0) {
                return;
            }
            if (dispatcher.isLeader()) {
                dispatcher
                        .leases()
                        .due(service, wanted, rotation)
                        .forEach(message -> deliver(service, dispatcher, message));
            }
        }
    }

    private void deliver(String service, Dispatcher dispatcher, Message message) {
        if (!starting.add(message.handle())) {
            return;
        }
        Optional<WaitingPull> pull = queue.take(service);
        if (pull.isEmpty()) {
            starting.remove(message.handle());
            return;
        }
        beginLease(pull.get(), dispatcher, message);
    }

    private void beginLease(WaitingPull pull, Dispatcher dispatcher, Message message) {
        dispatcher
                .leases()
                .begin(message, pull.request().processor())
                .map(Optional::of)
                .defaultIfEmpty(Optional.empty())
                .onErrorReturn(Optional.empty())
                .doFinally(signal -> starting.remove(message.handle()))
                .subscribe(leased -> leased.ifPresentOrElse(
                        started -> pull.respond(new LongPullResponse(List.of(started))), () -> queue.putBack(pull)));
    }
}

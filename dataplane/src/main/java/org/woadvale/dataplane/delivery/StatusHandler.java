package org.woadvale.dataplane.delivery;

import java.util.Map;
import java.util.Optional;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands.StatusRequest;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;
import reactor.core.publisher.Mono;

/**
 * Answers questions about one message: the leader of its partition tells its state, and any store tells whether an
 * attempt of it is in flight there.
 */
final class StatusHandler {
    private final DispatchContext context;
    private final Map<String, Dispatcher> dispatchersByPartition;

    StatusHandler(DispatchContext context, Map<String, Dispatcher> dispatchersByPartition) {
        this.context = context;
        this.dispatchersByPartition = dispatchersByPartition;
    }

    void route(RpcRouter router) {
        router.on(
                StatusRequest.class,
                (f, request) -> context.partitions()
                        .partition(request.partition())
                        .flatMap(partition -> request.attemptInFlight() == 0
                                ? state(partition, request)
                                : messageInFlight(partition, request)));
    }

    private static Mono<Message> state(MessagePartition partition, StatusRequest request) {
        return partition
                .replica()
                .read(i -> message(partition, request))
                .flatMap(message -> message.map(Mono::just)
                        .orElseGet(
                                () -> notFound("No such message is known; it may have been forgotten after its end.")));
    }

    private Mono<Message> messageInFlight(MessagePartition partition, StatusRequest request) {
        boolean inFlight = Optional.ofNullable(dispatchersByPartition.get(partition.id()))
                .filter(dispatcher -> dispatcher.hasInFlight(request.handle(), request.attemptInFlight()))
                .isPresent();
        return inFlight
                ? partition
                        .replica()
                        .inspect(i -> message(partition, request))
                        .map(Mono::just)
                        .orElseGet(() -> notFound("No such message is known here."))
                : notFound("This attempt is not in flight here.");
    }

    private static Optional<Message> message(MessagePartition partition, StatusRequest request) {
        return partition
                .stateMachine()
                .get(request.handle())
                .filter(message -> message.tenant().equals(request.tenant()));
    }

    private static Mono<Message> notFound(String reason) {
        ServiceException failure = new NotFoundException(reason);
        return Mono.error(failure);
    }
}

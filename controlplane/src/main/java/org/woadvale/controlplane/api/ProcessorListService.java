package org.woadvale.controlplane.api;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongFunction;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.UpdateResult;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.controlplane.api.ControlApiMessages.GetProcessorsRequest;
import org.woadvale.controlplane.api.ControlApiMessages.ProcessorsResponse;
import org.woadvale.controlplane.node.ControlNode;
import reactor.core.publisher.Mono;

/** Reads and changes the processor lists from any control node, by requests to the leader of a list's partition. */
public final class ProcessorListService {
    /** How often a change is attempted while concurrent changes keep modifying the list. */
    private static final int MAX_ATTEMPTS = 8;

    private final ControlNode node;

    /** Creates a service that sends its requests through the given node. */
    public ProcessorListService(ControlNode node) {
        this.node = node;
    }

    /** Registers the handler for requests to the leader of a list's partition. */
    void route(RpcRouter router) {
        router.on(GetProcessorsRequest.class, (from, request) -> read(request.service()));
    }

    private Mono<ProcessorsResponse> read(String service) {
        String partition = ServiceNames.controlPartition(service);
        return node.replica(partition).read(index -> {
            ServiceView view = node.stateMachine(partition).service(service);
            return new ProcessorsResponse(view.processors(), view.version());
        });
    }

    /** Returns the processor list of a service, given its internal name. */
    public Mono<ProcessorsResponse> get(String service) {
        return node.call(
                ServiceNames.controlPartition(service), new GetProcessorsRequest(service), ProcessorsResponse.class);
    }

    /** Adds or replaces one processor. */
    Mono<Boolean> put(String service, String id, Processor processor) {
        return change(
                service,
                version -> new ControlMessages.PutProcessor(
                        service, id, processor, version, ControlMessages.newRequestId()),
                MAX_ATTEMPTS);
    }

    /** Removes one processor; succeeds also if it is not in the list. */
    Mono<Boolean> drop(String service, String id) {
        return change(
                service,
                version -> new ControlMessages.DropProcessor(service, id, version, ControlMessages.newRequestId()),
                MAX_ATTEMPTS);
    }

    /** Replaces all processors of a service if the list is unchanged since it was read; returns false otherwise. */
    public Mono<Boolean> replace(String service, ProcessorsResponse read, Map<String, Processor> processors) {
        ControlMessages.PutProcessors command = new ControlMessages.PutProcessors(
                service, new HashMap<>(processors), read.version() + 1, ControlMessages.newRequestId());
        return node.call(ServiceNames.controlPartition(service), command, UpdateResult.class)
                .map(UpdateResult::accepted);
    }

    /**
     * Attempts a change that carries the version of the list that was read, so that a delayed change cannot undo a
     * later one.
     */
    private Mono<Boolean> change(String service, LongFunction<RepeatableRequest> command, int attemptsLeft) {
        return get(service)
                .flatMap(read -> node.call(
                        ServiceNames.controlPartition(service), command.apply(read.version() + 1), UpdateResult.class))
                .flatMap(result -> {
                    if (result.accepted()) {
                        return Mono.just(true);
                    }
                    return attemptsLeft > 1
                            ? change(service, command, attemptsLeft - 1)
                            : Mono.error(new UnavailableException("The list changes too fast; ask again."));
                });
    }
}

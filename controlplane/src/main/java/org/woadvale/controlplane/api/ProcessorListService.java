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

/** Reads and changes of the lists of processors, from any control node; the leader of a list's partition decides. */
public final class ProcessorListService {
    /** A list that is changed by others all the time is given up after so many attempts. */
    private static final int MAX_ATTEMPTS = 8;

    private final ControlNode node;

    /** Lists by way of a node. */
    public ProcessorListService(ControlNode node) {
        this.node = node;
    }

    /** What this node answers as the leader of a list's partition. */
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

    /** The list of a service, by its internal name. */
    public Mono<ProcessorsResponse> get(String service) {
        return node.call(
                ServiceNames.controlPartition(service), new GetProcessorsRequest(service), ProcessorsResponse.class);
    }

    /** Writes one processor, new or not. */
    Mono<Boolean> put(String service, String id, Processor processor) {
        return change(
                service,
                version -> new ControlMessages.PutProcessor(
                        service, id, processor, version, ControlMessages.newRequestId()),
                MAX_ATTEMPTS);
    }

    /** Drops one processor; true also if it was not there. */
    Mono<Boolean> drop(String service, String id) {
        return change(
                service,
                version -> new ControlMessages.DropProcessor(service, id, version, ControlMessages.newRequestId()),
                MAX_ATTEMPTS);
    }

    /** Replaces all processors of a service, if their list still is the one that was read; false if not. */
    public Mono<Boolean> replace(String service, ProcessorsResponse read, Map<String, Processor> processors) {
        ControlMessages.PutProcessors command = new ControlMessages.PutProcessors(
                service, new HashMap<>(processors), read.version() + 1, ControlMessages.newRequestId());
        return node.call(ServiceNames.controlPartition(service), command, UpdateResult.class)
                .map(UpdateResult::accepted);
    }

    /** A change names the list that was read, so that one which was delayed on its way cannot undo a later one. */
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

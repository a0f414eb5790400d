package org.woadvale.controlplane.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ConflictException;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.controlplane.node.ControlNode;
import reactor.core.publisher.Mono;

/** HTTP for the platform: processor lists, leaving marks, and who the control nodes are. design 6.4 */
final class ProcessorHttpHandler {
    private static final String ADDRESS = "[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}";
    private static final int CHANGES = 8;
    private final ControlNode node;

    ProcessorHttpHandler(ControlNode node) {
        this.node = node;
    }

    /** PUT /v1/core with {"lighthouses": [...]}: one may be exchanged at a time. design 6.6 */
    Mono<Response> core(Request request) {
        try {
            List<String> wanted = new ArrayList<>();
            Configurations.read(request.body(), JsonNode.class, ErrorKind.BAD_REQUEST)
                    .path("lighthouses")
                    .forEach(node -> wanted.add(node.asText()));
            if (wanted.size() != 3
                    || !wanted.stream().allMatch(a -> a.matches(ADDRESS))
                    || new HashSet<>(wanted).size() != 3) {
                throw new InvalidRequestException("lighthouses must be three different internal addresses.");
            }
            if (node.replica(ServiceNames.controlPart(ServiceNames.CORE))
                    .members()
                    .isEmpty()) {
                throw new UnavailableException("This lighthouse is not seated yet; ask another.");
            }
            if (wanted.stream().filter(node.controlNodes()::contains).count() < 2) {
                throw new ConflictException("Only one lighthouse may be exchanged at a time; the present ones are "
                        + String.join(", ", node.controlNodes()) + ".");
            }
            return node.call(
                            ServiceNames.controlPart(ServiceNames.CORE),
                            new ControlMessages.PutCore(wanted, node.controlNodes()),
                            ControlMessages.UpdateResult.class)
                    .flatMap(result -> result.accepted()
                            ? Mono.just(Response.json(200, Map.of("lighthouses", wanted)))
                            : Mono.error(
                                    new ConflictException("Another exchange is under way; look at GET /v1/status.")));
        } catch (ServiceException failure) {
            return Mono.error(failure);
        }
    }

    private Mono<OperatorHttpHandler.ProcessorsResponse> list(String service) {
        return node.call(
                ServiceNames.controlPart(service),
                new OperatorHttpHandler.GetProcessorsRequest(service),
                OperatorHttpHandler.ProcessorsResponse.class);
    }

    /** A change holds on to the list that was read, so that one held up on its way cannot undo a later one. design 6.7 */
    private Mono<Boolean> change(String service, LongFunction<RepeatableRequest> command, int left) {
        return list(service)
                .flatMap(response -> node.call(
                        ServiceNames.controlPart(service),
                        command.apply(response.version() + 1),
                        ControlMessages.UpdateResult.class))
                .flatMap(result -> result.accepted()
                        ? Mono.just(true)
                        : left > 1
                                ? change(service, command, left - 1)
                                : Mono.error(new UnavailableException("The list changes too fast; ask again.")));
    }

    /** /v1/services/{service}/processors[/{id}] */
    Mono<Response> processors(Request request, List<String> s) {
        boolean list = s.size() == 4
                && s.get(3).equals("processors")
                && request.method().equals("GET");
        boolean one = s.size() == 5
                && s.get(3).equals("processors")
                && !request.method().equals("GET");
        if (!list && !one
                || !s.get(2).matches("[a-z0-9][a-z0-9_-]{0,62}")
                || one && !s.get(4).matches("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")) {
            return Mono.error(new NotFoundException("No such place: " + request.path() + "."));
        }
        String service = ServiceNames.processors(s.get(2));
        if (list) {
            return list(service).map(response -> Response.json(200, response.processors()));
        }
        if (request.method().equals("DELETE")) {
            return change(
                            service,
                            v -> new ControlMessages.DropProcessor(
                                    service, s.get(4), v, ControlMessages.newRequestId()),
                            CHANGES)
                    .thenReturn(Response.json(200, Map.of("removed", s.get(4))));
        }
        try {
            JsonNode body = Configurations.read(request.body(), JsonNode.class, ErrorKind.BAD_REQUEST);
            String address = body.path("address").asText("");
            if (!address.matches("(http://[0-9.]+:[0-9]{1,5}(/[A-Za-z0-9/_.-]*)?)?")) {
                throw new InvalidRequestException("address must be http://IP:port or empty.");
            }
            Processor processor = new Processor(address, body.path("leaving").asBoolean(false));
            return change(
                            service,
                            v -> new ControlMessages.PutProcessor(
                                    service, s.get(4), processor, v, ControlMessages.newRequestId()),
                            CHANGES)
                    .thenReturn(Response.json(
                            200, Map.of("id", s.get(4), "address", address, "leaving", processor.leaving())));
        } catch (ServiceException failure) {
            return Mono.error(failure);
        }
    }
}

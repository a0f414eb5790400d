package org.woadvale.controlplane.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.HttpRouter;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import reactor.core.publisher.Mono;

/** HTTP handler for the processor lists: {@code /v1/services/{service}/processors[/{id}]}. */
final class ProcessorHttpHandler {
    private static final int OK = 200;
    private static final String SERVICE = "[a-z0-9][a-z0-9_-]{0,62}";
    private static final String PROCESSOR = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
    /** Empty for a processor that pulls. */
    private static final String ADDRESS = "(http://[0-9.]+:[0-9]{1,5}(/[A-Za-z0-9/_.-]*)?)?";

    private final ProcessorListService lists;

    ProcessorHttpHandler(ProcessorListService lists) {
        this.lists = lists;
    }

    void route(HttpRouter router) {
        router.on("GET v1/services/{service}/processors", this::get)
                .on("PUT v1/services/{service}/processors/{id}", this::put)
                .on("DELETE v1/services/{service}/processors/{id}", this::drop);
    }

    private Mono<Response> get(Request request, Map<String, String> path) throws ServiceException {
        return lists.get(service(request, path)).map(list -> Response.json(OK, list.processors()));
    }

    private Mono<Response> drop(Request request, Map<String, String> path) throws ServiceException {
        String service = service(request, path);
        String id = processor(request, path);
        return lists.drop(service, id).thenReturn(Response.json(OK, Map.of("removed", id)));
    }

    private Mono<Response> put(Request request, Map<String, String> path) throws ServiceException {
        String service = service(request, path);
        String id = processor(request, path);
        JsonNode body = Configurations.read(request.body(), JsonNode.class, ErrorKind.BAD_REQUEST);
        String address = body.path("address").asText("");
        if (!address.matches(ADDRESS)) {
            throw new InvalidRequestException("address must be http://IP:port or empty.");
        }
        boolean leaving = body.path("leaving").asBoolean(false);
        return lists.put(service, id, new Processor(address, leaving))
                .thenReturn(Response.json(OK, Map.of("id", id, "address", address, "leaving", leaving)));
    }

    /** The internal name of the service in the path. */
    private static String service(Request request, Map<String, String> path) throws NotFoundException {
        return ServiceNames.processors(segment(request, path.get("service"), SERVICE));
    }

    private static String processor(Request request, Map<String, String> path) throws NotFoundException {
        return segment(request, path.get("id"), PROCESSOR);
    }

    private static String segment(Request request, String segment, String pattern) throws NotFoundException {
        if (!segment.matches(pattern)) {
            throw new NotFoundException("No such place: " + request.path() + ".");
        }
        return segment;
    }
}

package org.woadvale.common.http;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.error.ServiceException;
import reactor.core.publisher.Mono;

/**
 * Chooses the handler of a request by method and path. A route is written as {@code GET v1/messages/{handle}}; a last
 * segment {@code **} stands for any number of further ones. Of several routes that fit the one added first is taken.
 */
public final class HttpRouter {
    private static final String ANY_REST = "**";

    /** Answers the requests of one route. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Answers a request.
         *
         * @param path the segments that the route names, by name
         * @throws ServiceException if the request is refused before anything was begun
         */
        Mono<Response> handle(Request request, Map<String, String> path) throws ServiceException;
    }

    private record Route(String method, List<String> segments, boolean openEnd, Handler handler) {
        Optional<Map<String, String>> match(Request request) {
            List<String> given = request.segments();
            boolean sizeFits = openEnd ? given.size() >= segments.size() : given.size() == segments.size();
            if (!sizeFits || !request.method().equals(method)) {
                return Optional.empty();
            }
            Map<String, String> path = new LinkedHashMap<>();
            for (int i = 0; i < segments.size(); i++) {
                String desired = segments.get(i);
                if (desired.startsWith("{")) {
                    path.put(desired.substring(1, desired.length() - 1), given.get(i));
                } else if (!desired.equals(given.get(i))) {
                    return Optional.empty();
                }
            }
            return Optional.of(path);
        }
    }

    private final List<Route> routes = new ArrayList<>();

    /** Adds a route, such as {@code PUT v1/core/**}. */
    public HttpRouter on(String route, Handler handler) {
        int space = route.indexOf(' ');
        List<String> segments =
                new ArrayList<>(List.of(route.substring(space + 1).split("/")));
        boolean openEnd = segments.remove(ANY_REST);
        routes.add(new Route(route.substring(0, space), List.copyOf(segments), openEnd, handler));
        return this;
    }

    /** The answer of the first route that fits; empty if none does. */
    public Optional<Mono<Response>> route(Request request) throws ServiceException {
        for (Route route : routes) {
            Optional<Map<String, String>> path = route.match(request);
            if (path.isPresent()) {
                return Optional.of(route.handler().handle(request, path.get()));
            }
        }
        return Optional.empty();
    }
}

package org.woadvale.common.http;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.error.ServiceException;
import reactor.core.publisher.Mono;

/**
 * Selects the handler of a request by method and path. A route is written as {@code GET v1/messages/{handle}}; a last
 * segment {@code **} matches any number of further segments. If several routes match, the one added first is used.
 */
public final class HttpRouter {
    private static final String WILDCARD_SUFFIX = "**";

    /** Handles the requests of one route. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Handles a request.
         *
         * @param path the values of the path segments that the route names, by name
         * @throws ServiceException if the request is rejected before any work has started
         */
        Mono<Response> handle(Request request, Map<String, String> path) throws ServiceException;
    }

    private record Route(String method, List<String> segments, boolean wildcardSuffix, Handler handler) {
        Optional<Map<String, String>> match(Request request) {
            List<String> actualSegments = request.segments();
            boolean sizeMatches = wildcardSuffix
                    ? actualSegments.size() >= segments.size()
                    : actualSegments.size() == segments.size();
            if (!sizeMatches || !request.method().equals(method)) {
                return Optional.empty();
            }
            Map<String, String> path = new LinkedHashMap<>();
            for (int i = 0; i < segments.size(); i++) {
                String expected = segments.get(i);
                if (expected.startsWith("{")) {
                    path.put(expected.substring(1, expected.length() - 1), actualSegments.get(i));
                } else if (!expected.equals(actualSegments.get(i))) {
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
        boolean wildcardSuffix = segments.remove(WILDCARD_SUFFIX);
        routes.add(new Route(route.substring(0, space), List.copyOf(segments), wildcardSuffix, handler));
        return this;
    }

    /** The response of the first route that matches, or empty if none does. */
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

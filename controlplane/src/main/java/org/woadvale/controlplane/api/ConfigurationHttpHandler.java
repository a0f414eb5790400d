package org.woadvale.controlplane.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.HttpRouter;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.controlplane.api.ControlApiMessages.HistoryResponse;
import reactor.core.publisher.Mono;

/** HTTP handler for the configuration: {@code /v1/layout}, its revisions and its history. */
final class ConfigurationHttpHandler {
    private static final int OK = 200;
    private static final String VERSION = "[0-9]{1,18}";
    private static final String REQUEST_ID = "[A-Za-z0-9._-]{1,64}";
    private static final long NEWEST = -1;

    private record HistoryRow(long version, String requestId, String author) {}

    private final ConfigurationService configurations;

    ConfigurationHttpHandler(ConfigurationService configurations) {
        this.configurations = configurations;
    }

    void route(HttpRouter router) {
        router.on("PUT v1/layout/**", (request, path) -> put(request))
                .on("GET v1/layout/history/**", (request, path) -> history())
                .on("GET v1/layout/{version}/**", (request, path) -> get(path.get("version")))
                .on("GET v1/layout", (request, path) -> get(""));
    }

    private Mono<Response> put(Request request) throws ServiceException {
        Configurations.parseAndValidate(request.body());
        long base = request.header("if-match")
                .map(header -> header.replace("\"", ""))
                .filter(header -> header.matches(VERSION))
                .map(Long::parseLong)
                .orElseThrow(
                        () -> new InvalidRequestException("If-Match must carry the base version, a whole number."));
        String requestId = request.header("x-request-id")
                .orElseGet(() -> "auto-" + ThreadLocalRandom.current().nextLong());
        if (!requestId.matches(REQUEST_ID)) {
            throw new InvalidRequestException("X-Request-Id must be 1 to 64 letters, digits, . _ -");
        }
        String author = request.header("x-author").orElse("");
        return configurations
                .put(new ControlMessages.PutConfiguration(requestId, base, request.body(), author))
                .map(accepted -> Response.json(
                                OK,
                                Map.of(
                                        "version", accepted.version(),
                                        "repeated", accepted.repeated(),
                                        "requestId", requestId))
                        .withHeader("ETag", etag(accepted.version())));
    }

    /** Returns the revision with the given version; the newest if the path segment is not a version number. */
    private Mono<Response> get(String version) {
        return configurations
                .get(version.matches(VERSION) ? Long.parseLong(version) : NEWEST)
                .map(found -> new Response(OK, Map.of("Content-Type", "application/json"), found.configuration())
                        .withHeader("ETag", etag(found.version())));
    }

    private static String etag(long version) {
        return "\"" + version + "\"";
    }

    private Mono<Response> history() {
        return configurations.history().map(history -> Response.json(OK, Map.of("versions", rows(history))));
    }

    private static List<HistoryRow> rows(HistoryResponse history) {
        List<HistoryRow> rows = new ArrayList<>();
        for (int i = 0; i < history.versions().size(); i++) {
            rows.add(new HistoryRow(
                    history.versions().get(i),
                    history.requests().get(i),
                    history.authors().get(i)));
        }
        return rows;
    }
}

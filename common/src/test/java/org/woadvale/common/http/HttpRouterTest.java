package org.woadvale.common.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import reactor.core.publisher.Mono;

class HttpRouterTest {
    private final HttpRouter router = new HttpRouter()
            .on("GET v1/messages/{handle}", (request, path) -> respond("one " + path.get("handle")))
            .on("GET v1/messages", (request, path) -> respond("list"))
            .on("GET v1/layout/history/**", (request, path) -> respond("history"))
            .on("GET v1/layout/{version}/**", (request, path) -> respond("version " + path.get("version")))
            .on("GET v1/layout/**", (request, path) -> respond("newest"));

    private static Mono<Response> respond(String text) {
        return Mono.just(new Response(200, Map.of("name", text), new byte[0]));
    }

    private String route(String method, String path) throws ServiceException {
        return router.route(new Request(method, path, Map.of(), new byte[0]))
                .map(response -> response.block().headers().get("name"))
                .orElse("none");
    }

    @Test
    void namedSegmentIsPassedToTheHandler() throws ServiceException {
        assertEquals("one m0-1", route("GET", "/v1/messages/m0-1"));
        assertEquals("list", route("GET", "/v1/messages?state=failed"));
    }

    @Test
    void methodAndNumberOfSegmentsMustMatch() throws ServiceException {
        assertEquals("none", route("POST", "/v1/messages"));
        assertEquals("none", route("GET", "/v1/messages/m0-1/outcome"));
        assertEquals("none", route("GET", "/"));
    }

    @Test
    void firstOfSeveralMatchingRoutesIsUsed() throws ServiceException {
        assertEquals("history", route("GET", "/v1/layout/history"));
        assertEquals("version 7", route("GET", "/v1/layout/7"));
        assertEquals("version 7", route("GET", "/v1/layout/7/more"));
        assertEquals("newest", route("GET", "/v1/layout"));
    }
}

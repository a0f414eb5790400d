package org.woadvale.common.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import reactor.core.publisher.Mono;

class HttpRouterTest {
    private final HttpRouter router = new HttpRouter()
            .on("GET v1/messages/{handle}", (request, path) -> answer("one " + path.get("handle")))
            .on("GET v1/messages", (request, path) -> answer("list"))
            .on("GET v1/layout/history/**", (request, path) -> answer("history"))
            .on("GET v1/layout/{version}/**", (request, path) -> answer("version " + path.get("version")))
            .on("GET v1/layout/**", (request, path) -> answer("newest"));

    private static Mono<Response> answer(String text) {
        return Mono.just(new Response(200, Map.of("name", text), new byte[0]));
    }

    private String routed(String method, String path) throws ServiceException {
        return router.route(new Request(method, path, Map.of(), new byte[0]))
                .map(response -> response.block().headers().get("name"))
                .orElse("none");
    }

    @Test
    void aNamedSegmentIsHandedOver() throws ServiceException {
        assertEquals("one m0-1", routed("GET", "/v1/messages/m0-1"));
        assertEquals("list", routed("GET", "/v1/messages?state=failed"));
    }

    @Test
    void methodAndNumberOfSegmentsMustFit() throws ServiceException {
        assertEquals("none", routed("POST", "/v1/messages"));
        assertEquals("none", routed("GET", "/v1/messages/m0-1/outcome"));
        assertEquals("none", routed("GET", "/"));
    }

    @Test
    void ofSeveralThatFitTheFirstIsTaken() throws ServiceException {
        assertEquals("history", routed("GET", "/v1/layout/history"));
        assertEquals("version 7", routed("GET", "/v1/layout/7"));
        assertEquals("version 7", routed("GET", "/v1/layout/7/more"));
        assertEquals("newest", routed("GET", "/v1/layout"));
    }
}

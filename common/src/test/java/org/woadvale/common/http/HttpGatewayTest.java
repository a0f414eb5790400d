package org.woadvale.common.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.woadvale.common.LoopbackPorts;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ThrottledException;
import reactor.core.publisher.Mono;

/** Tests the HTTP server with a real client and a handler function. */
class HttpGatewayTest {
    private final AtomicInteger handledRequests = new AtomicInteger();

    private HttpResponse<String> post(String address, int bytes, boolean lengthKnown) throws Exception {
        byte[] body = "x".repeat(bytes).getBytes();
        HttpRequest.BodyPublisher publisher = HttpRequest.BodyPublishers.ofByteArray(body);
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://" + address + "/a"))
                                .version(HttpClient.Version.HTTP_1_1)
                                .POST(
                                        lengthKnown
                                                ? publisher
                                                : HttpRequest.BodyPublishers.ofInputStream(
                                                        () -> new ByteArrayInputStream(body)))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void oversizedBodiesNeverReachTheHandlerAndErrorsBecomeResponses() throws Exception {
        String address = LoopbackPorts.freeAddress();
        HttpGateway gateway = new HttpGateway(address, 100, request -> {
            handledRequests.incrementAndGet();
            return request.body().length == 3
                    ? Mono.error(new ThrottledException("later", List.of("7")))
                    : Mono.just(Response.json(200, request.body().length));
        });
        gateway.start();
        try {
            assertEquals(413, post(address, 101, true).statusCode());
            HttpResponse<String> chunked = post(address, 5000, false);
            assertEquals(413, chunked.statusCode());
            assertTrue(chunked.body().contains("\"kind\":\"too_large\""), chunked.body());
            assertEquals(0, handledRequests.get());
            assertEquals("100", post(address, 100, true).body());
            HttpResponse<String> throttled = post(address, 3, true);
            assertEquals(429, throttled.statusCode());
            assertEquals("7", throttled.headers().firstValue("Retry-After").orElse(""));
        } finally {
            gateway.stop();
        }
    }

    /** Every kind of response declares its length, so that a caller can detect a truncated one. */
    @Test
    void everyResponseDeclaresItsLength() throws Exception {
        String address = LoopbackPorts.freeAddress();
        HttpGateway gateway = new HttpGateway(address, 100, request -> switch (request.body().length) {
            case 1 -> Mono.just(Response.json(202, "taken"));
            case 2 -> Mono.error(new OutcomeUnknownException("not known"));
            case 3 -> throw new IllegalStateException("thrown");
            default -> Mono.empty();
        });
        gateway.start();
        try {
            int[] statuses = {500, 202, 504, 500, 500, 413};
            int[] lengths = {0, 1, 2, 3, 4, 101};
            for (int i = 0; i < lengths.length; i++) {
                HttpResponse<String> response = post(address, lengths[i], true);
                assertEquals(statuses[i], response.statusCode(), "for " + lengths[i]);
                assertEquals(
                        response.body().length(),
                        response.headers().firstValueAsLong("Content-Length").orElse(-1));
                assertTrue(response.body().length() > 0, "for " + lengths[i]);
            }
        } finally {
            gateway.stop();
        }
    }
}

package org.woadvale.foundation.gate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.woadvale.foundation.lantern.ErrorKind;
import org.woadvale.foundation.lantern.Fault;

import reactor.core.publisher.Mono;

/** The real HTTP server in front of the application function. */
class GateTest {
    private final AtomicInteger reached = new AtomicInteger();

    private HttpResponse<String> post(String address, int bytes, boolean lengthKnown) throws Exception {
        byte[] body = "x".repeat(bytes).getBytes();
        HttpRequest.BodyPublisher p = HttpRequest.BodyPublishers.ofByteArray(body);
        return HttpClient.newHttpClient().send(HttpRequest.newBuilder(URI.create("http://" + address + "/a"))
            .version(HttpClient.Version.HTTP_1_1)
            .POST(lengthKnown ? p : HttpRequest.BodyPublishers.ofInputStream(() -> new java.io.ByteArrayInputStream(body)))
            .build(), HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void oversizedBodiesNeverReachTheApplicationAndFaultsBecomeAnswers() throws Exception {
        String address;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            address = "127.0.0.1:" + s.getLocalPort();
        }
        Gate gate = new Gate(address, 100, q -> {
            reached.incrementAndGet();
            return q.body().length == 3 ? Mono.error(new Fault(ErrorKind.THROTTLED, "later", java.util.List.of("7")))
                : Mono.just(Answer.json(200, q.body().length));
        });
        gate.start();
        try {
            assertEquals(413, post(address, 101, true).statusCode());
            HttpResponse<String> chunked = post(address, 5000, false);
            assertEquals(413, chunked.statusCode());
            assertTrue(chunked.body().contains("\"kind\":\"too_large\""), chunked.body());
            assertEquals(0, reached.get());
            assertEquals("100", post(address, 100, true).body());
            HttpResponse<String> throttled = post(address, 3, true);
            assertEquals(429, throttled.statusCode());
            assertEquals("7", throttled.headers().firstValue("Retry-After").orElse(""));
        } finally {
            gate.stop();
        }
    }
}

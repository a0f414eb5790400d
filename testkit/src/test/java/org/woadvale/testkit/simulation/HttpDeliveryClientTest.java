package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.dataplane.delivery.DeliveryClient;
import org.woadvale.dataplane.delivery.HttpDeliveryClient;
import reactor.core.publisher.Mono;

/** The delivery client against a misbehaving back end (docs/design.md, section 9.3; docs/platform.md, section 5). */
class HttpDeliveryClientTest {
    /** For tests that are not about the timeout: long enough that a busy test machine never reaches it. */
    private static final Duration TIMEOUT = Duration.ofMinutes(2);

    private final HttpDeliveryClient client = new HttpDeliveryClient();

    private static DeliveryClient.DeliveryRequest request(ScriptedHttpServer peer, String id, Duration timeout) {
        return request(peer.address(), id, timeout);
    }

    private static DeliveryClient.DeliveryRequest request(String address, String id, Duration timeout) {
        return new DeliveryClient.DeliveryRequest(
                "POST",
                address + "/x?y=1",
                Map.of("X-Attempt-Id", id, "Content-Length", "2"),
                new byte[] {'h', 'i'},
                timeout,
                () -> true,
                Map.of("x-attempt-id", id));
    }

    private String send(ScriptedHttpServer peer, String id) {
        return send(peer.address(), id);
    }

    private String send(String address, String id) {
        return client.send(request(address, id, TIMEOUT))
                .map(deliveryResponse -> deliveryResponse.status() + " "
                        + deliveryResponse.headers().get("x-attempt-id") + " " + new String(deliveryResponse.body()))
                .onErrorResume(e -> Mono.just(ServiceException.of(e).kind().name()))
                .block();
    }

    private static ScriptedHttpServer.ScriptedAnswer keepOpen(String text) {
        return new ScriptedHttpServer.ScriptedAnswer(text, false);
    }

    @Test
    void responseIsReadWithItsHeaders() throws Exception {
        try (ScriptedHttpServer peer = new ScriptedHttpServer(
                (c, n, head) -> keepOpen(ScriptedHttpServer.answer(200, "a" + n, "X-Server-Seal: s\r\n", "ok")))) {
            assertEquals("200 a1 ok", send(peer, "a1"));
            assertEquals("200 a2 ok", send(peer, "a2"));
            assertEquals(1, peer.connections(), "a connection is reused");
            assertTrue(peer.requestHeads.get(0).startsWith("POST /x?y=1 HTTP/1.1"), peer.requestHeads.get(0));
        }
    }

    /**
     * A request that is sent as soon as a response is received, before anything else can run, reuses the connection of
     * that response.
     */
    @Test
    void connectionIsPooledBeforeItsResponseIsPublished() throws Exception {
        try (ScriptedHttpServer peer =
                new ScriptedHttpServer((c, n, head) -> keepOpen(ScriptedHttpServer.answer(200, "a", "", "ok")))) {
            DeliveryClient.DeliveryResponse second = client.send(request(peer, "a", TIMEOUT))
                    .flatMap(first -> client.send(request(peer, "a", TIMEOUT)))
                    .block();
            assertEquals(200, second.status());
            assertEquals(1, peer.connections());
        }
    }

    /**
     * A second response arrives with the first or while the next request is sent: it is never taken as the response to
     * that.
     */
    @Test
    void lateSecondAnswerIsNeverAnothersAnswer() throws Exception {
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> keepOpen(
                c == 1 && n == 1
                        ? ScriptedHttpServer.answer(200, "a1", "", "one")
                                + ScriptedHttpServer.answer(200, "a1", "", "two")
                        : ScriptedHttpServer.answer(
                                200, head.replaceAll("(?is).*x-attempt-id: *(\\S+).*", "$1"), "", "own")))) {
            assertEquals("200 a1 one", send(peer, "a1"));
            for (int i = 2; i < 8; i++) {
                String id = "a" + i;
                String result = send(peer, id);
                assertTrue(
                        result.equals("200 " + id + " own") || result.equals(ErrorKind.UNKNOWN_OUTCOME.name()),
                        id + ": " + result);
            }
            assertEquals("200 a9 own", send(peer, "a9"));
        }
    }

    /** The back end repeats the response to an earlier request in place of the one to this request. */
    @Test
    void responseWithAnotherIdIsUnknownOutcomeAndClosesTheConnection() throws Exception {
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> keepOpen(
                c == 1 && n == 2
                        ? ScriptedHttpServer.answer(200, "a1", "", "again")
                        : ScriptedHttpServer.answer(
                                200, head.replaceAll("(?is).*x-attempt-id: *(\\S+).*", "$1"), "", "own")))) {
            assertEquals("200 a1 own", send(peer, "a1"));
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), send(peer, "a2"));
            assertEquals("200 a3 own", send(peer, "a3"));
            assertEquals(2, peer.connections());
        }
    }

    /**
     * A connection, new or reused, closes without a response: the outcome is unknown, and the client does not retry.
     */
    @Test
    void nothingIsSentTwice() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> {
            requests.incrementAndGet();
            return n == 1 && c == 2
                    ? keepOpen(ScriptedHttpServer.answer(200, "b", "", ""))
                    : new ScriptedHttpServer.ScriptedAnswer("", true);
        })) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), send(peer, "a"));
            assertEquals(1, requests.get());
            assertEquals("200 b ", send(peer, "b"));
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), send(peer, "c"));
            assertEquals(3, requests.get());
        }
    }

    @Test
    void halfAnAnswerIsNoAnswer() throws Exception {
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> new ScriptedHttpServer.ScriptedAnswer(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Seal: s\r\nContent-Length: 10\r\n\r\nhalf", true))) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), send(peer, "a"));
        }
        try (ScriptedHttpServer peer = new ScriptedHttpServer(
                (c, n, head) -> new ScriptedHttpServer.ScriptedAnswer("HTTP/1.1 200 OK\r\nX-Att", true))) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), send(peer, "a"));
        }
        try (ScriptedHttpServer peer = new ScriptedHttpServer(
                (c, n, head) -> new ScriptedHttpServer.ScriptedAnswer("nonsense\r\n\r\n", true))) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), send(peer, "a"));
        }
    }

    /** Of two requests without a response the one with the shorter timeout ends first, with an unknown outcome. */
    @Test
    @Timeout(60)
    void missingResponseEndsAtTheTimeout() throws Exception {
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> keepOpen(""))) {
            CompletableFuture<ErrorKind> longer = kind(request(peer, "a", Duration.ofSeconds(5)));
            CompletableFuture<ErrorKind> shorter = kind(request(peer, "b", Duration.ofMillis(300)));
            boolean longerEnded = shorter.thenApply(kind -> longer.isDone()).get();
            assertEquals(ErrorKind.UNKNOWN_OUTCOME, shorter.get());
            assertFalse(longerEnded, "the longer timeout had not expired");
        }
    }

    private CompletableFuture<ErrorKind> kind(DeliveryClient.DeliveryRequest request) {
        return client.send(request)
                .map(deliveryResponse -> ErrorKind.CONFLICT)
                .onErrorResume(e -> Mono.just(ServiceException.of(e).kind()))
                .toFuture();
    }

    @Test
    void refusedConnectionIsReportedAsUnreachable() throws Exception {
        try (Socket refusing = new Socket()) {
            // bound but not listening, so that no other process can use the port
            refusing.bind(new InetSocketAddress("127.0.0.1", 0));
            assertEquals(ErrorKind.UNREACHABLE.name(), send("http://127.0.0.1:" + refusing.getLocalPort(), "a"));
        }
    }

    /**
     * The back end announces after which idle time it closes a connection; the client stops reusing the connection
     * earlier, after half of that time or one second before it, whichever is later.
     */
    @Test
    void idleConnectionIsNotReusedAfterTheAnnouncedTime() throws Exception {
        try (ScriptedHttpServer peer = new ScriptedHttpServer(
                (c, n, head) -> keepOpen(ScriptedHttpServer.answer(200, "a", "Keep-Alive: timeout=0\r\n", "")))) {
            assertEquals("200 a ", send(peer, "a"));
            long deadline = System.nanoTime() + 20_000_000L;
            while (System.nanoTime() < deadline) {
                Thread.onSpinWait();
            }
            assertEquals("200 a ", send(peer, "a"));
            assertNotEquals(1, peer.connections());
        }
    }
}

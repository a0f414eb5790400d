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

/** The real client against a back end that says odd things: design 9.3, docs/platform.md 5. */
class HttpDeliveryClientTest {
    /** For tests that are not about the limit: no busy machine takes as long, so it never decides a verdict. */
    private static final Duration LIMIT = Duration.ofMinutes(2);

    private final HttpDeliveryClient post = new HttpDeliveryClient();

    private static DeliveryClient.DeliveryRequest call(Peer peer, String id, Duration limit) {
        return call(peer.address(), id, limit);
    }

    private static DeliveryClient.DeliveryRequest call(String address, String id, Duration limit) {
        return new DeliveryClient.DeliveryRequest(
                "POST",
                address + "/x?y=1",
                Map.of("X-Attempt-Id", id, "Content-Length", "2"),
                new byte[] {'h', 'i'},
                limit,
                () -> true,
                Map.of("x-attempt-id", id));
    }

    private String said(Peer peer, String id) {
        return said(peer.address(), id);
    }

    private String said(String address, String id) {
        return post.send(call(address, id, LIMIT))
                .map(deliveryResponse -> deliveryResponse.status() + " "
                        + deliveryResponse.headers().get("x-attempt-id") + " " + new String(deliveryResponse.body()))
                .onErrorResume(e -> Mono.just(ServiceException.of(e).kind().name()))
                .block();
    }

    private static Peer.Said open(String text) {
        return new Peer.Said(text, false);
    }

    @Test
    void answerIsReadWithItsHeaders() throws Exception {
        try (Peer peer = new Peer((c, n, head) -> open(Peer.answer(200, "a" + n, "X-Server-Seal: s\r\n", "ok")))) {
            assertEquals("200 a1 ok", said(peer, "a1"));
            assertEquals("200 a2 ok", said(peer, "a2"));
            assertEquals(1, peer.connections(), "a stream is used again");
            assertTrue(peer.heads.get(0).startsWith("POST /x?y=1 HTTP/1.1"), peer.heads.get(0));
        }
    }

    /**
     * A request sent by whoever receives a reply, before anything else can run, finds the reply's stream in the pool.
     */
    @Test
    void streamIsInThePoolWhenItsReplyIsPublished() throws Exception {
        try (Peer peer = new Peer((c, n, head) -> open(Peer.answer(200, "a", "", "ok")))) {
            DeliveryClient.DeliveryResponse last = post.send(call(peer, "a", LIMIT))
                    .flatMap(first -> post.send(call(peer, "a", LIMIT)))
                    .block();
            assertEquals(200, last.status());
            assertEquals(1, peer.connections());
        }
    }

    /** The second answer comes with the first or while the next request is on its way: it is never that one's. */
    @Test
    void lateSecondAnswerIsNeverAnothersAnswer() throws Exception {
        try (Peer peer = new Peer((c, n, head) -> open(
                c == 1 && n == 1
                        ? Peer.answer(200, "a1", "", "one") + Peer.answer(200, "a1", "", "two")
                        : Peer.answer(200, head.replaceAll("(?is).*x-attempt-id: *(\\S+).*", "$1"), "", "own")))) {
            assertEquals("200 a1 one", said(peer, "a1"));
            for (int i = 2; i < 8; i++) {
                String id = "a" + i;
                String s = said(peer, id);
                assertTrue(s.equals("200 " + id + " own") || s.equals(ErrorKind.UNKNOWN_OUTCOME.name()), id + ": " + s);
            }
            assertEquals("200 a9 own", said(peer, "a9"));
        }
    }

    /** The answer to an earlier request stands where this one's should. */
    @Test
    void answerWithAnothersIdIsUnclearAndClosesTheStream() throws Exception {
        try (Peer peer = new Peer((c, n, head) -> open(
                c == 1 && n == 2
                        ? Peer.answer(200, "a1", "", "again")
                        : Peer.answer(200, head.replaceAll("(?is).*x-attempt-id: *(\\S+).*", "$1"), "", "own")))) {
            assertEquals("200 a1 own", said(peer, "a1"));
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), said(peer, "a2"));
            assertEquals("200 a3 own", said(peer, "a3"));
            assertEquals(2, peer.connections());
        }
    }

    /** Closed without an answer, on a new stream and on a used one: unclear, and not sent again by the client. */
    @Test
    void nothingIsSentTwice() throws Exception {
        AtomicInteger whole = new AtomicInteger();
        try (Peer peer = new Peer((c, n, head) -> {
            whole.incrementAndGet();
            return n == 1 && c == 2 ? open(Peer.answer(200, "b", "", "")) : new Peer.Said("", true);
        })) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), said(peer, "a"));
            assertEquals(1, whole.get());
            assertEquals("200 b ", said(peer, "b"));
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), said(peer, "c"));
            assertEquals(3, whole.get());
        }
    }

    @Test
    void halfAnAnswerIsNoAnswer() throws Exception {
        try (Peer peer = new Peer((c, n, head) -> new Peer.Said(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Seal: s\r\nContent-Length: 10\r\n\r\nhalf", true))) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), said(peer, "a"));
        }
        try (Peer peer = new Peer((c, n, head) -> new Peer.Said("HTTP/1.1 200 OK\r\nX-Att", true))) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), said(peer, "a"));
        }
        try (Peer peer = new Peer((c, n, head) -> new Peer.Said("nonsense\r\n\r\n", true))) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), said(peer, "a"));
        }
    }

    /** Of two unanswered requests the one with the shorter limit ends first, as unclear. */
    @Test
    @Timeout(60)
    void silenceEndsAtTheLimit() throws Exception {
        try (Peer peer = new Peer((c, n, head) -> open(""))) {
            CompletableFuture<ErrorKind> longer = kind(call(peer, "a", Duration.ofSeconds(5)));
            CompletableFuture<ErrorKind> shorter = kind(call(peer, "b", Duration.ofMillis(300)));
            boolean longerEnded = shorter.thenApply(kind -> longer.isDone()).get();
            assertEquals(ErrorKind.UNKNOWN_OUTCOME, shorter.get());
            assertFalse(longerEnded, "the longer limit had not come");
        }
    }

    private CompletableFuture<ErrorKind> kind(DeliveryClient.DeliveryRequest call) {
        return post.send(call)
                .map(deliveryResponse -> ErrorKind.CONFLICT)
                .onErrorResume(e -> Mono.just(ServiceException.of(e).kind()))
                .toFuture();
    }

    @Test
    void nobodyThereMeansNothingWasSent() throws Exception {
        try (Socket refusing = new Socket()) {
            // bound and never listening, so that nobody else can take the port
            refusing.bind(new InetSocketAddress("127.0.0.1", 0));
            assertEquals(ErrorKind.UNREACHABLE.name(), said("http://127.0.0.1:" + refusing.getLocalPort(), "a"));
        }
    }

    /** The back end closes streams that rest for so long; half of that before, another is opened. */
    @Test
    void streamRestsNoLongerThanTheBackEndSays() throws Exception {
        try (Peer peer = new Peer((c, n, head) -> open(Peer.answer(200, "a", "Keep-Alive: timeout=0\r\n", "")))) {
            assertEquals("200 a ", said(peer, "a"));
            long until = System.nanoTime() + 20_000_000L;
            while (System.nanoTime() < until) {
                Thread.onSpinWait();
            }
            assertEquals("200 a ", said(peer, "a"));
            assertNotEquals(1, peer.connections());
        }
    }
}

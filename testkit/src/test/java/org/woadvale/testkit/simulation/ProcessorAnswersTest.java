package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.dataplane.delivery.DeliveryClient;
import org.woadvale.dataplane.delivery.HttpDeliveryClient;
import reactor.core.publisher.Mono;

/** The delivery rows of docs/calls.md: what a processor may do to the answers on one connection. */
class ProcessorAnswersTest {
    private static final Duration LONG = Duration.ofSeconds(15);
    private static final String UNKNOWN = ErrorKind.UNKNOWN_OUTCOME.name();
    private final HttpDeliveryClient client = new HttpDeliveryClient();

    private String resultOf(ScriptedHttpServer peer, String id, Duration limit) {
        DeliveryClient.DeliveryRequest call = new DeliveryClient.DeliveryRequest(
                "POST",
                peer.address() + "/x",
                Map.of("X-Attempt-Id", id, "Content-Length", "2"),
                new byte[] {'h', 'i'},
                limit,
                () -> true,
                Map.of("x-attempt-id", id));
        return client.send(call)
                .map(deliveryResponse -> deliveryResponse.status() + " " + new String(deliveryResponse.body()))
                .onErrorResume(e -> Mono.just(ServiceException.of(e).kind().name()))
                .block();
    }

    private static String id(String head) {
        return head.replaceAll("(?is).*x-attempt-id: *(\\S+).*", "$1");
    }

    private static ScriptedHttpServer.ScriptedAnswer ownAnswer(String head) {
        return new ScriptedHttpServer.ScriptedAnswer(
                ScriptedHttpServer.answer(200, id(head), "", "own " + id(head)), false);
    }

    /**
     * The rest of the second answer arrives with the next one: the connection is out of sync and is not used for
     * another call.
     */
    @Test
    void beginningOfASecondAnswerIsNoPartOfTheNext() throws Exception {
        String second = ScriptedHttpServer.answer(200, "a1", "", "spare");
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> {
            if (c != 1) {
                return ownAnswer(head);
            }
            String rest = second.substring(0, second.length() - 3);
            return n == 1
                    ? new ScriptedHttpServer.ScriptedAnswer(ownAnswer(head).text() + rest, false)
                    : new ScriptedHttpServer.ScriptedAnswer(
                            second.substring(second.length() - 3)
                                    + ownAnswer(head).text(),
                            false);
        })) {
            assertEquals("200 own a1", resultOf(peer, "a1", LONG));
            for (String id : List.of("a2", "a3", "a4")) {
                String s = resultOf(peer, id, LONG);
                assertTrue(s.equals("200 own " + id) || s.equals(UNKNOWN), id + ": " + s);
            }
            assertEquals("200 own a5", resultOf(peer, "a5", LONG));
            assertTrue(peer.connections() > 1, "the connection was reused");
        }
    }

    @Test
    void answerWithTwoIdsIsNobodysAnswer() throws Exception {
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> c == 1
                ? new ScriptedHttpServer.ScriptedAnswer(
                        ScriptedHttpServer.answer(200, "other", "X-Attempt-Id: " + id(head) + "\r\n", "mixed"), false)
                : ownAnswer(head))) {
            assertEquals(UNKNOWN, resultOf(peer, "a1", LONG));
            assertEquals("200 own a2", resultOf(peer, "a2", LONG));
            assertEquals(2, peer.connections());
        }
    }

    @Test
    void answerWithoutAnIdIsNobodysAnswer() throws Exception {
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> c == 1
                ? new ScriptedHttpServer.ScriptedAnswer(
                        "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false)
                : ownAnswer(head))) {
            assertEquals(UNKNOWN, resultOf(peer, "a1", LONG));
            assertEquals("200 own a2", resultOf(peer, "a2", LONG));
            assertEquals(2, peer.connections());
        }
    }

    /** The first answer arrives while the second call is waiting; its connection must already be closed. */
    @Test
    void connectionIsNotUsedAgainAfterATimeOut() throws Exception {
        CountDownLatch second = new CountDownLatch(1);
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> {
            if (c == 1) {
                await(second);
                return ownAnswer(head);
            }
            second.countDown();
            return ownAnswer(head);
        })) {
            assertEquals(UNKNOWN, resultOf(peer, "a1", Duration.ofMillis(300)));
            assertEquals("200 own a2", resultOf(peer, "a2", LONG));
            assertEquals(2, peer.connections());
            assertEquals(2, peer.requestHeads.size());
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(30, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The processor closes a kept-alive connection as the next request is written: outcome unknown, sent once. */
    @Test
    void keepAliveThatDiesAsItIsUsedSendsNothingTwice() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> {
            requests.incrementAndGet();
            return n == 1 ? ownAnswer(head) : new ScriptedHttpServer.ScriptedAnswer("", true);
        })) {
            assertEquals("200 own a1", resultOf(peer, "a1", LONG));
            assertEquals(UNKNOWN, resultOf(peer, "a2", LONG));
            assertEquals(2, requests.get());
            assertEquals(1, peer.connections());
        }
    }

    @Test
    void closeWithinTheHeadOrTheBodyOfAnAnswerIsUnknown() throws Exception {
        String whole = ScriptedHttpServer.answer(200, "a", "X-Server-Seal: s\r\n", "body");
        for (int cut : List.of(1, 12, 20, whole.indexOf("\r\n\r\n") + 3, whole.length() - 1)) {
            try (ScriptedHttpServer peer = new ScriptedHttpServer(
                    (c, n, head) -> new ScriptedHttpServer.ScriptedAnswer(whole.substring(0, cut), true))) {
                assertEquals(UNKNOWN, resultOf(peer, "a", LONG), "cut at " + cut);
                assertEquals(1, peer.requestHeads.size());
            }
        }
    }

    /** A chunked body that ends with the connection instead of the last chunk. */
    @Test
    void chunksWithoutTheirEndAreUnknown() throws Exception {
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> new ScriptedHttpServer.ScriptedAnswer(
                "HTTP/1.1 200 X\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", true))) {
            assertEquals(UNKNOWN, resultOf(peer, "a", LONG));
        }
    }

    /** An interim response carries no attempt ID and is not the answer; the final one is then out of sync. */
    @Test
    void interimAnswerIsNotTheAnswer() throws Exception {
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> c == 1
                ? new ScriptedHttpServer.ScriptedAnswer(
                        "HTTP/1.1 103 Early\r\n\r\n" + ownAnswer(head).text(), false)
                : ownAnswer(head))) {
            String first = resultOf(peer, "a1", LONG);
            assertTrue(first.equals(UNKNOWN) || first.equals("200 own a1"), first);
            assertEquals("200 own a2", resultOf(peer, "a2", LONG));
        }
    }

    /** An answer longer than the client accepts: its body is not returned, neither to this call nor to another. */
    @Test
    void endlessAnswerIsGivenUp() throws Exception {
        String megabyte = "x".repeat(1 << 20);
        try (ScriptedHttpServer peer = new ScriptedHttpServer((c, n, head) -> c == 1
                ? new ScriptedHttpServer.ScriptedAnswer(
                        "HTTP/1.1 200 X\r\nX-Attempt-Id: a1\r\nContent-Length: " + (64L << 20) + "\r\n\r\n" + megabyte,
                        false)
                : ownAnswer(head))) {
            assertEquals(UNKNOWN, resultOf(peer, "a1", Duration.ofSeconds(1)));
            assertEquals("200 own a2", resultOf(peer, "a2", LONG));
        }
    }
}

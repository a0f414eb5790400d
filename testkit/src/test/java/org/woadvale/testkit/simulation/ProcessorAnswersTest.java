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

/** The rows of docs/calls.md for deliveries: what a processor may do to the answers of one connection. */
class ProcessorAnswersTest {
    private static final Duration LONG = Duration.ofSeconds(15);
    private static final String UNKNOWN = ErrorKind.UNKNOWN_OUTCOME.name();
    private final HttpDeliveryClient client = new HttpDeliveryClient();

    private String said(Peer peer, String id, Duration limit) {
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

    private static Peer.Said own(String head) {
        return new Peer.Said(Peer.answer(200, id(head), "", "own " + id(head)), false);
    }

    /** The rest of it comes with the next answer: the connection is out of step and is not used for another call. */
    @Test
    void beginningOfASecondAnswerIsNoPartOfTheNext() throws Exception {
        String second = Peer.answer(200, "a1", "", "spare");
        try (Peer peer = new Peer((c, n, head) -> {
            if (c != 1) {
                return own(head);
            }
            String rest = second.substring(0, second.length() - 3);
            return n == 1
                    ? new Peer.Said(own(head).text() + rest, false)
                    : new Peer.Said(
                            second.substring(second.length() - 3) + own(head).text(), false);
        })) {
            assertEquals("200 own a1", said(peer, "a1", LONG));
            for (String id : List.of("a2", "a3", "a4")) {
                String s = said(peer, id, LONG);
                assertTrue(s.equals("200 own " + id) || s.equals(UNKNOWN), id + ": " + s);
            }
            assertEquals("200 own a5", said(peer, "a5", LONG));
            assertTrue(peer.connections() > 1, "the connection was used on");
        }
    }

    @Test
    void answerWithTwoIdsIsNobodysAnswer() throws Exception {
        try (Peer peer = new Peer((c, n, head) -> c == 1
                ? new Peer.Said(Peer.answer(200, "other", "X-Attempt-Id: " + id(head) + "\r\n", "mixed"), false)
                : own(head))) {
            assertEquals(UNKNOWN, said(peer, "a1", LONG));
            assertEquals("200 own a2", said(peer, "a2", LONG));
            assertEquals(2, peer.connections());
        }
    }

    @Test
    void answerWithoutAnIdIsNobodysAnswer() throws Exception {
        try (Peer peer = new Peer((c, n, head) -> c == 1
                ? new Peer.Said("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false)
                : own(head))) {
            assertEquals(UNKNOWN, said(peer, "a1", LONG));
            assertEquals("200 own a2", said(peer, "a2", LONG));
            assertEquals(2, peer.connections());
        }
    }

    /** The first answer comes while the second call waits; it must find its connection closed. */
    @Test
    void connectionIsNotUsedAgainAfterATimeOut() throws Exception {
        CountDownLatch second = new CountDownLatch(1);
        try (Peer peer = new Peer((c, n, head) -> {
            if (c == 1) {
                await(second);
                return own(head);
            }
            second.countDown();
            return own(head);
        })) {
            assertEquals(UNKNOWN, said(peer, "a1", Duration.ofMillis(300)));
            assertEquals("200 own a2", said(peer, "a2", LONG));
            assertEquals(2, peer.connections());
            assertEquals(2, peer.heads.size());
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(30, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The answer says "keep alive" and the processor closes as the next request is written: unknown, sent once. */
    @Test
    void keepAliveThatDiesAsItIsUsedSendsNothingTwice() throws Exception {
        AtomicInteger wholeRequests = new AtomicInteger();
        try (Peer peer = new Peer((c, n, head) -> {
            wholeRequests.incrementAndGet();
            return n == 1 ? own(head) : new Peer.Said("", true);
        })) {
            assertEquals("200 own a1", said(peer, "a1", LONG));
            assertEquals(UNKNOWN, said(peer, "a2", LONG));
            assertEquals(2, wholeRequests.get());
            assertEquals(1, peer.connections());
        }
    }

    @Test
    void closeWithinTheHeadOrTheBodyOfAnAnswerIsUnknown() throws Exception {
        String whole = Peer.answer(200, "a", "X-Server-Seal: s\r\n", "body");
        for (int cut : List.of(1, 12, 20, whole.indexOf("\r\n\r\n") + 3, whole.length() - 1)) {
            try (Peer peer = new Peer((c, n, head) -> new Peer.Said(whole.substring(0, cut), true))) {
                assertEquals(UNKNOWN, said(peer, "a", LONG), "cut at " + cut);
                assertEquals(1, peer.heads.size());
            }
        }
    }

    /** Chunks that end with the connection and not with the last chunk. */
    @Test
    void chunksWithoutTheirEndAreUnknown() throws Exception {
        try (Peer peer = new Peer((c, n, head) -> new Peer.Said(
                "HTTP/1.1 200 X\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", true))) {
            assertEquals(UNKNOWN, said(peer, "a", LONG));
        }
    }

    /** An answer in advance of the answer is none: it names nobody, and the real one is then out of step. */
    @Test
    void interimAnswerIsNotTheAnswer() throws Exception {
        try (Peer peer = new Peer((c, n, head) ->
                c == 1 ? new Peer.Said("HTTP/1.1 103 Early\r\n\r\n" + own(head).text(), false) : own(head))) {
            String first = said(peer, "a1", LONG);
            assertTrue(first.equals(UNKNOWN) || first.equals("200 own a1"), first);
            assertEquals("200 own a2", said(peer, "a2", LONG));
        }
    }

    /** More than the client keeps of an answer: it has no body here, and no other answer either. */
    @Test
    void endlessAnswerIsGivenUp() throws Exception {
        String megabyte = "x".repeat(1 << 20);
        try (Peer peer = new Peer((c, n, head) -> c == 1
                ? new Peer.Said(
                        "HTTP/1.1 200 X\r\nX-Attempt-Id: a1\r\nContent-Length: " + (64L << 20) + "\r\n\r\n" + megabyte,
                        false)
                : own(head))) {
            assertEquals(UNKNOWN, said(peer, "a1", Duration.ofSeconds(1)));
            assertEquals("200 own a2", said(peer, "a2", LONG));
        }
    }
}

package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.runtime.ServiceException;
import reactor.core.publisher.Mono;

/** Attempts without an answer are sent again: design 9.11. */
class ResendTest {
    private static final long TIMEOUT_MS = 1500;
    private static final String AT = "10.9.0.1:8080";

    private static Duration gap(Shore s, int from) {
        return s.got.get(from + 1).at().minus(s.got.get(from).at());
    }

    private static Mono<Response> silenceUntil(Shore s, int n, Request q) {
        return s.got.size() < n ? Mono.never() : Mono.just(Shore.done(q));
    }

    @Test
    void unclearAttemptIsSentAgainAfterItsDeadlineOnly() throws ServiceException {
        Shore s = new Shore(1, 1);
        s.processor("i-1", "book", AT, q -> silenceUntil(s, 2, q));
        String handle = s.accepted("/push/x", "b", Map.of());
        s.run(6000);
        assertEquals(2, s.got.size());
        assertTrue(gap(s, 0).toMillis() >= TIMEOUT_MS && gap(s, 0).toMillis() < TIMEOUT_MS + 900, "after " + gap(s, 0));
        assertEquals("completed", s.state(handle).path("state").asText());
    }

    /** The back end gives a repeat its first success again, so nothing is waited for. */
    @Test
    void unclearAnswerOfAServiceThatDedupesIsSentAgainAtOnce() throws ServiceException {
        Shore s = new Shore(2, 1);
        s.processor("i-1", "same", AT, q -> Mono.just(s.got.size() < 3 ? Shore.answer(q, 502) : Shore.done(q)));
        s.accepted("/dedup/x", "b", Map.of());
        s.run(3000);
        assertEquals(3, s.got.size());
        assertTrue(gap(s, 0).toMillis() < 500, "after " + gap(s, 0));
    }

    @Test
    void unclearAttemptsAndSuchThatWereNotRunCountAsNoTries() throws ServiceException {
        Shore s = new Shore(3, 1);
        s.processor("i-1", "same", AT, q -> {
            int n = s.got.size();
            Response notRun = Shore.answer(q, 503).with("X-Not-Executed", "1");
            return Mono.just(
                    n <= 5 ? Shore.answer(q, 502) : n <= 9 ? notRun : n <= 10 ? Shore.answer(q, 421) : Shore.done(q));
        });
        String handle = s.accepted("/dedup/x", "b", Map.of());
        s.run(20_000);
        assertEquals(11, s.got.size());
        assertEquals("completed", s.state(handle).path("state").asText());
    }

    @Test
    void answers500CountAndTheThirdEndsIt() throws ServiceException {
        Shore s = new Shore(4, 1);
        s.processor("i-1", "book", AT, q -> Mono.just(Shore.answer(q, 500)));
        String handle = s.accepted("/push/x", "poison", Map.of());
        s.run(12_000);
        assertEquals(3, s.got.size());
        assertEquals("dead_letter", s.state(handle).path("state").asText());
    }

    @Test
    void nextOfTheKeyWaitsWhileTheFirstIsUnclear() throws ServiceException {
        Shore s = new Shore(5, 1);
        s.processor("i-1", "book", AT, q -> silenceUntil(s, 3, q));
        Map<String, String> key = Map.of("x-order-key", "k");
        s.accepted("/order/x", "first", key);
        s.accepted("/order/x", "second", key);
        s.run(9000);
        assertEquals(
                List.of("first", "first", "first", "second"),
                s.got.stream().map(g -> new String(g.q().body())).toList());
    }

    /** The new owner waits for the attempt's deadline too; then it is run again, once. */
    @Test
    void newOwnerSendsAgainWhatItsPredecessorHadUnderWay() throws ServiceException {
        Shore s = new Shore(6, 1);
        s.processor("i-1", "book", AT, q -> silenceUntil(s, 2, q));
        String handle = s.accepted("/push/x", "b", Map.of());
        s.r.sim.runUntil(() -> !s.got.isEmpty(), Duration.ofSeconds(5));
        s.r.kill(s.r.owner(handle.replaceAll("-.*", "")).orElseThrow());
        s.run(9000);
        assertEquals(2, s.got.size());
        assertTrue(gap(s, 0).toMillis() >= TIMEOUT_MS, "after " + gap(s, 0));
        assertEquals("completed", s.state(handle).path("state").asText());
    }

    /** A planned leadership transfer while a processor works: its answer is recorded with the new owner, and nothing runs twice. */
    @Test
    void handOverDuringARunDoesNotRunItTwice() throws ServiceException {
        Shore s = new Shore(7, 1);
        s.processor(
                "i-1",
                "book",
                AT,
                q -> Mono.create(sink -> s.r.sim.after(Duration.ofMillis(1000), () -> sink.success(Shore.done(q)))));
        String handle = s.accepted("/push/x", "b", Map.of());
        s.r.sim.runUntil(() -> !s.got.isEmpty(), Duration.ofSeconds(5));
        String before = s.r.owner(handle.replaceAll("-.*", "")).orElseThrow();
        s.r.pilot(before).drain();
        s.run(6000);
        assertTrue(!s.r.owner(handle.replaceAll("-.*", "")).orElseThrow().equals(before), "handed over");
        assertEquals(1, s.got.size());
        assertEquals("completed", s.state(handle).path("state").asText());
    }

    @Test
    void deliveryIsTheRequestAsItArrived() throws ServiceException {
        Shore s = new Shore(8, 1);
        s.processor("i-1", "book", AT, q -> Mono.just(Shore.done(q)));
        s.accepted(
                "/order/x?y=%20z", "bytes", Map.of("x-order-key", "k", "x-attempt-id", "mine", "content-type", "a/b"));
        s.run(1500);
        Request q = s.got.get(0).q();
        assertEquals("POST /order/x?y=%20z bytes", q.method() + " " + q.path() + " " + new String(q.body()));
        assertEquals(
                List.of("mine", "k", "tenant-a", "i-1", Shore.HOST, "a/b"),
                List.of("x-attempt-id", "x-order-key", "x-tenant", "x-expect-instance", "host", "content-type").stream()
                        .map(h -> q.headers().get(h))
                        .toList());
        long deadline = Long.parseLong(q.headers().get("x-deadline-ms"));
        assertTrue(deadline > 0 && deadline <= TIMEOUT_MS, "deadline " + deadline);
        assertTrue(
                q.headers().keySet().stream().noneMatch(h -> h.equals("authorization")), "no key goes to a processor");
    }

    /** A failed message keeps its body, a done one does not; what is not there and what is another's look alike. */
    @Test
    void failedMessagesKeepTheirBodiesAndDoneOnesDoNot() throws ServiceException {
        Shore s = new Shore(9, 1);
        s.processor(
                "i-1",
                "book",
                AT,
                q -> Mono.just(new String(q.body()).equals("bad") ? Shore.answer(q, 422) : Shore.done(q)));
        String bad = s.accepted("/push/x", "bad", Map.of());
        String good = s.accepted("/push/x", "good", Map.of());
        String later = s.accepted("/push/x", "later", Map.of("x-delay-ms", "60000"));
        s.run(2000);
        assertEquals(
                "200 bad", s.bytes(bad).status() + " " + new String(s.bytes(bad).body()));
        assertEquals(
                "200 later",
                s.bytes(later).status() + " " + new String(s.bytes(later).body()));
        assertEquals(404, s.bytes(good).status());
        assertEquals(
                List.of("dead_letter", "completed", "queued"),
                List.of(bad, good, later).stream()
                        .map(h -> s.state(h).path("state").asText())
                        .toList());
        for (String none : List.of("m0-999", "m999-1", "nonsense", "m1-1x")) {
            assertEquals(404, s.bytes(none).status(), none);
        }
        Map<String, String> other = Map.of("host", Shore.HOST, "authorization", "Token key-of-b");
        assertEquals(404, s.front("GET", "/-/message/" + bad, other, "").status());
        assertEquals(404, s.front("GET", "/-/message-body/" + bad, other, "").status());
    }
}

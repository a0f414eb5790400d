package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import reactor.core.publisher.Mono;

/** Attempts without an answer are resent (docs/design.md, section 9.11). */
class ResendTest {
    private static final long TIMEOUT_MS = 1500;
    private static final String ADDRESS = "10.9.0.1:8080";

    private static Duration intervalAfter(PlatformFixture fixture, int from) {
        return fixture.received
                .get(from + 1)
                .receivedAt()
                .minus(fixture.received.get(from).receivedAt());
    }

    private static Mono<Response> noAnswerBefore(PlatformFixture fixture, int n, Request request) {
        return fixture.received.size() < n ? Mono.never() : Mono.just(PlatformFixture.success(request));
    }

    @Test
    void unclearAttemptIsResentOnlyAfterItsDeadline() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(1, 1);
        fixture.processor("i-1", "book", ADDRESS, request -> noAnswerBefore(fixture, 2, request));
        String handle = fixture.sendUntilAccepted("/push/x", "b", Map.of());
        fixture.run(6000);
        assertEquals(2, fixture.received.size());
        assertTrue(
                intervalAfter(fixture, 0).toMillis() >= TIMEOUT_MS
                        && intervalAfter(fixture, 0).toMillis() < TIMEOUT_MS + 900,
                "after " + intervalAfter(fixture, 0));
        assertEquals("completed", fixture.messageStatus(handle).path("state").asText());
    }

    /** The back end answers a duplicate with its first success, so the resend does not wait for the deadline. */
    @Test
    void unclearAttemptOfADeduplicatingServiceIsResentAtOnce() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(2, 1);
        fixture.processor(
                "i-1",
                "same",
                ADDRESS,
                request -> Mono.just(
                        fixture.received.size() < 3
                                ? PlatformFixture.answer(request, 502)
                                : PlatformFixture.success(request)));
        fixture.sendUntilAccepted("/dedup/x", "b", Map.of());
        fixture.run(3000);
        assertEquals(3, fixture.received.size());
        assertTrue(intervalAfter(fixture, 0).toMillis() < 500, "after " + intervalAfter(fixture, 0));
    }

    @Test
    void unclearAndUnexecutedAttemptsDoNotCount() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(3, 1);
        fixture.processor("i-1", "same", ADDRESS, request -> {
            int n = fixture.received.size();
            Response notRun = PlatformFixture.answer(request, 503).withHeader("X-Not-Executed", "1");
            return Mono.just(
                    n <= 5
                            ? PlatformFixture.answer(request, 502)
                            : n <= 9
                                    ? notRun
                                    : n <= 10
                                            ? PlatformFixture.answer(request, 421)
                                            : PlatformFixture.success(request));
        });
        String handle = fixture.sendUntilAccepted("/dedup/x", "b", Map.of());
        fixture.run(20_000);
        assertEquals(11, fixture.received.size());
        assertEquals("completed", fixture.messageStatus(handle).path("state").asText());
    }

    @Test
    void thirdAnswer500EndsTheMessage() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(4, 1);
        fixture.processor("i-1", "book", ADDRESS, request -> Mono.just(PlatformFixture.answer(request, 500)));
        String handle = fixture.sendUntilAccepted("/push/x", "poison", Map.of());
        fixture.run(12_000);
        assertEquals(3, fixture.received.size());
        assertEquals("dead_letter", fixture.messageStatus(handle).path("state").asText());
    }

    @Test
    void nextMessageOfTheKeyWaitsWhileTheOutcomeOfTheFirstIsUnknown() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(5, 1);
        fixture.processor("i-1", "book", ADDRESS, request -> noAnswerBefore(fixture, 3, request));
        Map<String, String> key = Map.of("x-order-key", "k");
        fixture.sendUntilAccepted("/order/x", "first", key);
        fixture.sendUntilAccepted("/order/x", "second", key);
        fixture.run(9000);
        assertEquals(
                List.of("first", "first", "first", "second"),
                fixture.received.stream()
                        .map(got -> new String(got.request().body()))
                        .toList());
    }

    /** The new owner also waits for the attempt's deadline; then the message is run again, once. */
    @Test
    void newOwnerResendsAttemptsOfItsPredecessor() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(6, 1);
        fixture.processor("i-1", "book", ADDRESS, request -> noAnswerBefore(fixture, 2, request));
        String handle = fixture.sendUntilAccepted("/push/x", "b", Map.of());
        fixture.fleet.sim.runUntil(() -> !fixture.received.isEmpty(), Duration.ofSeconds(5));
        fixture.fleet.kill(fixture.fleet.owner(handle.replaceAll("-.*", "")).orElseThrow());
        fixture.run(9000);
        assertEquals(2, fixture.received.size());
        assertTrue(intervalAfter(fixture, 0).toMillis() >= TIMEOUT_MS, "after " + intervalAfter(fixture, 0));
        assertEquals("completed", fixture.messageStatus(handle).path("state").asText());
    }

    /**
     * Leadership is transferred while a processor works: the new owner records the processor's answer, and nothing runs
     * twice.
     */
    @Test
    void handOverDuringARunDoesNotRunItTwice() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(7, 1);
        fixture.processor(
                "i-1",
                "book",
                ADDRESS,
                request -> Mono.create(sink -> fixture.fleet.sim.after(
                        Duration.ofMillis(1000), () -> sink.success(PlatformFixture.success(request)))));
        String handle = fixture.sendUntilAccepted("/push/x", "b", Map.of());
        fixture.fleet.sim.runUntil(() -> !fixture.received.isEmpty(), Duration.ofSeconds(5));
        String before = fixture.fleet.owner(handle.replaceAll("-.*", "")).orElseThrow();
        fixture.fleet.dataPlaneNode(before).drain();
        fixture.run(6000);
        assertTrue(
                !fixture.fleet.owner(handle.replaceAll("-.*", "")).orElseThrow().equals(before),
                "leadership was not transferred");
        assertEquals(1, fixture.received.size());
        assertEquals("completed", fixture.messageStatus(handle).path("state").asText());
    }

    @Test
    void deliveryIsTheRequestAsItArrived() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(8, 1);
        fixture.processor("i-1", "book", ADDRESS, request -> Mono.just(PlatformFixture.success(request)));
        fixture.sendUntilAccepted(
                "/order/x?y=%20z", "bytes", Map.of("x-order-key", "k", "x-attempt-id", "mine", "content-type", "a/b"));
        fixture.run(1500);
        Request request = fixture.received.get(0).request();
        assertEquals(
                "POST /order/x?y=%20z bytes",
                request.method() + " " + request.path() + " " + new String(request.body()));
        assertEquals(
                List.of("mine", "k", "tenant-a", "i-1", PlatformFixture.HOST, "a/b"),
                List.of("x-attempt-id", "x-order-key", "x-tenant", "x-expect-instance", "host", "content-type").stream()
                        .map(header -> request.headers().get(header))
                        .toList());
        long deadline = Long.parseLong(request.headers().get("x-deadline-ms"));
        assertTrue(deadline > 0 && deadline <= TIMEOUT_MS, "deadline " + deadline);
        assertTrue(
                request.headers().keySet().stream().noneMatch(header -> header.equals("authorization")),
                "the access key was passed on to a processor");
    }

    /**
     * A failed message keeps its body, a completed one does not. A missing message and another tenant's message get the
     * same answer.
     */
    @Test
    void failedMessagesKeepTheirBodiesAndDoneOnesDoNot() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(9, 1);
        fixture.processor(
                "i-1",
                "book",
                ADDRESS,
                request -> Mono.just(
                        new String(request.body()).equals("bad")
                                ? PlatformFixture.answer(request, 422)
                                : PlatformFixture.success(request)));
        String bad = fixture.sendUntilAccepted("/push/x", "bad", Map.of());
        String good = fixture.sendUntilAccepted("/push/x", "good", Map.of());
        String later = fixture.sendUntilAccepted("/push/x", "later", Map.of("x-delay-ms", "60000"));
        fixture.run(2000);
        assertEquals(
                "200 bad",
                fixture.messageBody(bad).status() + " "
                        + new String(fixture.messageBody(bad).body()));
        assertEquals(
                "200 later",
                fixture.messageBody(later).status() + " "
                        + new String(fixture.messageBody(later).body()));
        assertEquals(404, fixture.messageBody(good).status());
        assertEquals(
                List.of("dead_letter", "completed", "queued"),
                List.of(bad, good, later).stream()
                        .map(handle ->
                                fixture.messageStatus(handle).path("state").asText())
                        .toList());
        for (String unknown : List.of("m0-999", "m999-1", "nonsense", "m1-1x")) {
            assertEquals(404, fixture.messageBody(unknown).status(), unknown);
        }
        Map<String, String> other = Map.of("host", PlatformFixture.HOST, "authorization", "Token key-of-b");
        assertEquals(
                404, fixture.sendToIntake("GET", "/-/message/" + bad, other, "").status());
        assertEquals(
                404,
                fixture.sendToIntake("GET", "/-/message-body/" + bad, other, "").status());
    }
}

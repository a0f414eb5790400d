package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;

/** A fetch waits at one store at a time (docs/design.md, section 9.10). */
class WaitingPullsTest {
    private static Request pull(String instance, long waitMs) {
        return new Request(
                "POST",
                "/-/pull/desk",
                Map.of("x-instance-id", instance, "x-poll-wait-ms", Long.toString(waitMs)),
                new byte[0]);
    }

    private static List<Response> startPulls(PlatformFixture fixture, int n, long waitMs) {
        List<Response> responses = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            fixture.fleet.request(
                    fixture.fleet.intakes.get(i % fixture.fleet.intakes.size()),
                    pull("i-" + i, waitMs),
                    Duration.ofSeconds(30),
                    response -> response.ifPresent(responses::add));
        }
        return responses;
    }

    @Test
    void fetchWithoutWorkIsEmptyAfterItsWaitTime() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(1, 2);
        Duration asked = fixture.fleet.sim.now();
        assertEquals(204, fixture.pull("i-1", 1000).status());
        long took = fixture.fleet.sim.now().minus(asked).toMillis();
        assertTrue(took >= 900 && took < 2000, "took " + took + " ms");
        Response none = fixture.sendToIntake(
                "POST", "/-/pull/nobody", Map.of("x-instance-id", "i-1", "x-poll-wait-ms", "300"), "");
        assertEquals("204 ", none.status() + " " + new String(none.body()));
        assertEquals(
                400,
                fixture.sendToIntake("POST", "/-/pull/desk", Map.of("x-poll-wait-ms", "300"), "")
                        .status());
    }

    /** A message that becomes due is handed to a waiting fetch at once, whichever nodes they are on. */
    @Test
    void waitingFetchGetsWhatBecomesDue() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(2, 3);
        List<Response> responses = startPulls(fixture, 6, 10_000);
        fixture.run(1000);
        Duration sent = fixture.fleet.sim.now();
        fixture.sendUntilAccepted("/pull/x", "b", Map.of());
        assertTrue(
                fixture.fleet.sim.runUntil(() -> !responses.isEmpty(), Duration.ofSeconds(2)),
                "no waiting fetch received the message");
        assertTrue(
                fixture.fleet.sim.now().minus(sent).toMillis() < 700,
                "after " + fixture.fleet.sim.now().minus(sent));
    }

    @Test
    void oneMessageGoesToOneFetchOnly() throws ServiceException {
        for (long seed = 3; seed < 6; seed++) {
            PlatformFixture fixture = new PlatformFixture(seed, 3);
            List<Response> responses = startPulls(fixture, 30, 2500);
            for (int i = 0; i < 12; i++) {
                fixture.sendUntilAccepted("/pull/" + i, "b" + i, Map.of());
            }
            fixture.run(2600);
            HashSet<String> ids = new HashSet<>();
            List<Response> jobs = responses.stream()
                    .filter(response -> response.status() == 200)
                    .toList();
            jobs.forEach(response -> ids.add(response.headers().get("X-Attempt-Id")));
            assertEquals(12, jobs.size());
            assertEquals(12, ids.size(), "a message was handed out twice");
        }
    }

    @Test
    void delayIsKept() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(6, 1);
        Duration sent = fixture.fleet.sim.now();
        fixture.sendUntilAccepted("/pull/x", "late", Map.of("x-delay-ms", "1500"));
        Response response = fixture.pull("i-1", 8000);
        long after = fixture.fleet.sim.now().minus(sent).toMillis();
        assertEquals("late", new String(response.body()));
        assertTrue(after >= 1400 && after < 2600, "after " + after + " ms");
    }

    /** An intake's fetch is dropped when the intake dies; messages granted to it are handed out again after the lease. */
    @Test
    void fetchOfADeadIntakeLosesNothing() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(7, 2);
        List<Response> responses = new ArrayList<>();
        fixture.sendUntilAccepted("/pull/x", "kept", Map.of("x-delay-ms", "600"));
        fixture.fleet.request(
                fixture.fleet.intakes.get(1),
                pull("i-1", 8000),
                Duration.ofSeconds(30),
                response -> response.ifPresent(responses::add));
        fixture.run(400);
        fixture.fleet.kill(fixture.fleet.intakes.get(1));
        assertEquals("kept", new String(fixture.pull("i-2", 15_000).body()));
        assertTrue(responses.isEmpty());
    }
}

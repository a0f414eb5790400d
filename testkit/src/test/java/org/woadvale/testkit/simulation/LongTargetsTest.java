package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import reactor.core.publisher.Mono;

/**
 * Messages with long targets are queued while there is no processor. Guards against limits that do not count all stored
 * bytes: the ring of every store filled up, the processes stopped, and no data folder could be opened again (review/1).
 */
class LongTargetsTest {
    private static final String TARGET = "/push/" + "x".repeat(15_000) + "/";
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MESSAGES = 400;
    private static final int MIN_ACCEPTED = 60;

    private final Map<String, String> bodies = new LinkedHashMap<>();
    private final Map<Integer, Integer> statuses = new TreeMap<>();

    private void send(PlatformFixture fixture, int count, boolean restarts) throws ServiceException {
        for (int i = 0; i < count; i++) {
            String body = "body " + bodies.size() + " " + i;
            Map<String, String> headers = Map.of(
                    "host", PlatformFixture.HOST,
                    "authorization", "Token " + PlatformFixture.KEY,
                    "x-attempt-id", "m" + i);
            Request request = new Request("POST", TARGET + i, headers, body.getBytes());
            Optional<Response> answer =
                    fixture.fleet.requestAndWait(fixture.fleet.intakes.get(0), request, RESPONSE_TIMEOUT);
            statuses.merge(answer.map(Response::status).orElse(0), 1, Integer::sum);
            answer.filter(response -> response.status() == 202)
                    .ifPresent(response -> bodies.put(response.headers().get("X-Message-Ref"), body));
            answer.filter(response -> response.status() == 503)
                    .ifPresent(response -> assertTrue(
                            response.headers().keySet().stream().anyMatch("retry-after"::equalsIgnoreCase),
                            "a rejection must have a Retry-After header"));
            if (restarts && i % 100 == 99) {
                String store =
                        fixture.fleet.stores.get(fixture.fleet.sim.random().nextInt(3));
                fixture.fleet.kill(store);
                fixture.run(300);
                fixture.fleet.restart(store);
                fixture.run(3000);
            }
        }
    }

    private static void assertEveryStoreRuns(PlatformFixture fixture) {
        assertEquals(
                fixture.fleet.stores,
                fixture.fleet.stores.stream()
                        .filter(store -> fixture.fleet.host(store).alive())
                        .toList());
    }

    private List<String> lostMessages(PlatformFixture fixture) {
        List<String> lost = new ArrayList<>();
        bodies.forEach((handle, body) -> {
            Response answer = fixture.messageBody(handle);
            if (answer.status() != 200 || !new String(answer.body()).equals(body)) {
                lost.add(handle + " " + answer.status());
            }
        });
        return lost;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void fullStoresRejectMessagesAndLoseNothing(long seed) throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(seed, 1, SimulatedFleet.SMALL_RING);
        send(fixture, MESSAGES, false);
        assertEveryStoreRuns(fixture);
        assertTrue(bodies.size() >= MIN_ACCEPTED, statuses.toString());
        assertNotEquals(0, statuses.getOrDefault(503, 0), statuses.toString());
        assertEquals(List.of(), lostMessages(fixture));
        startProcessors(fixture);
        assertEquals(List.of(), incomplete(fixture));
        int before = bodies.size();
        send(fixture, 5, false);
        assertTrue(bodies.size() > before, "there must be space again: " + statuses);
    }

    /** The same with a store killed and restarted after every 100 messages: each data folder can be opened again. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12})
    void fullStoresRestartAfterAKill(long seed) throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(seed, 1, SimulatedFleet.SMALL_RING);
        send(fixture, MESSAGES, true);
        assertEveryStoreRuns(fixture);
        for (String store : fixture.fleet.stores) {
            fixture.fleet.kill(store);
        }
        for (String store : fixture.fleet.stores) {
            fixture.fleet.restart(store);
        }
        fixture.run(6000);
        assertEveryStoreRuns(fixture);
        assertEquals(List.of(), lostMessages(fixture));
        startProcessors(fixture);
        assertEquals(List.of(), incomplete(fixture));
    }

    private static void startProcessors(PlatformFixture fixture) {
        for (int i = 1; i <= 3; i++) {
            fixture.processor(
                    "i-" + i, "book", "10.9.0." + i + ":80", request -> Mono.just(PlatformFixture.success(request)));
        }
        fixture.run(30_000);
    }

    private List<String> incomplete(PlatformFixture fixture) {
        return bodies.keySet().stream()
                .filter(handle ->
                        !fixture.messageStatus(handle).path("state").asText().equals("completed"))
                .toList();
    }
}

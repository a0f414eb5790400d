package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.TestConfiguration;

/** Invalid input gets a definite error kind, and nothing is stored. */
class BadInputTest {
    private final FleetSimulation simulation;

    BadInputTest() throws ServiceException {
        simulation = new FleetSimulation(1, 2, 3, 2).startAll();
        simulation.fleet.sim.run(Duration.ofSeconds(3));
    }

    private Response send(
            String to, String method, String path, String key, String body, Map<String, String> extraHeaders) {
        Map<String, String> headers = new HashMap<>(extraHeaders);
        headers.put("authorization", "Bearer " + key);
        List<Response> responses = new ArrayList<>();
        simulation.fleet.request(
                to,
                new Request(method, path, headers, body.getBytes(StandardCharsets.UTF_8)),
                Duration.ofSeconds(6),
                response -> responses.add(response.orElseThrow()));
        simulation.fleet.sim.run(Duration.ofSeconds(7));
        return responses.get(0);
    }

    private String statusAndKind(String method, String path, String key, String body) {
        Response response = send(simulation.fleet.intakes.get(0), method, path, key, body, Map.of());
        return response.status() + " "
                + FleetSimulation.json(response).path("kind").asText();
    }

    private long storedMessages() {
        Response response = send(
                simulation.fleet.intakes.get(1),
                "GET",
                "/v1/messages?state=done",
                TestConfiguration.callerKey(0),
                "",
                Map.of());
        return FleetSimulation.json(response).path("messages").size();
    }

    @Test
    void invalidSubmissionsAreRejectedAndNotStored() {
        String key = TestConfiguration.callerKey(0);
        String valid = "{\"id\":\"a\",\"body\":{}}";
        String holdPath = "/v1/lanes/hold/messages";
        assertEquals("400 bad_request", statusAndKind("POST", holdPath, key, "{\"id\":"));
        assertEquals("400 bad_request", statusAndKind("POST", holdPath, key, "{\"id\":\"a b\",\"body\":{}}"));
        assertEquals("400 bad_request", statusAndKind("POST", holdPath, key, "{\"id\":\"a\"}"));
        assertEquals(
                "400 bad_request", statusAndKind("POST", holdPath, key, "{\"id\":\"a\",\"body\":{},\"delayMs\":-1}"));
        assertEquals("400 bad_request", statusAndKind("POST", holdPath, key, "{\"id\":\"a\",\"body\":{},\"more\":1}"));
        assertEquals(
                "400 bad_request",
                statusAndKind("POST", holdPath, key, "{\"id\":\"a\",\"body\":{},\"orderingKey\":\"k\"}"));
        assertEquals("400 bad_request", statusAndKind("POST", "/v1/lanes/accept/messages", key, valid));
        assertEquals("404 unknown_lane", statusAndKind("POST", "/v1/lanes/none/messages", key, valid));
        assertEquals("401 unauthorised", statusAndKind("POST", holdPath, "wrong", valid));
        assertEquals(
                "403 forbidden", statusAndKind("POST", "/v1/services/reserve/fetch", key, "{\"processor\":\"p\"}"));
        assertEquals("404 not_found", statusAndKind("GET", "/v1/messages/m0-99", key, ""));
        assertEquals("404 not_found", statusAndKind("GET", "/v1/messages/..%2f", key, ""));
        assertEquals("404 not_found", statusAndKind("DELETE", holdPath, key, ""));
        assertEquals(0, storedMessages());
        assertEquals("202 ", statusAndKind("POST", holdPath, key, valid));
        assertEquals(1, storedMessages());
        assertEquals("202 ", statusAndKind("POST", holdPath, key, valid));
        assertEquals("409 conflict", statusAndKind("POST", holdPath, key, "{\"id\":\"a\",\"body\":{\"other\":1}}"));
        assertEquals(1, storedMessages());
    }

    /**
     * Unknown processors, services and messages are rejected; an outcome for a message that has ended changes nothing.
     */
    @Test
    void invalidProcessorRequestsGetDefiniteErrors() {
        String key = TestConfiguration.fetchKey(TestConfiguration.GROUP);
        String fetch = "/v1/services/" + TestConfiguration.GROUP + "/fetch";
        assertEquals("403 forbidden", statusAndKind("POST", fetch, key, "{\"processor\":\"nobody\"}"));
        assertEquals(
                "403 forbidden", statusAndKind("POST", "/v1/services/nowhere/fetch", key, "{\"processor\":\"p0\"}"));
        assertEquals("400 bad_request", statusAndKind("POST", fetch, key, "{\"processor\":\"p0\",\"fetch\":\"a b\"}"));
        String done = "{\"processor\":\"p0\",\"attempt\":1,\"outcome\":\"done\",\"receipt\":\"r\"}";
        assertEquals("404 not_found", statusAndKind("POST", "/v1/messages/m0-99/outcome", key, done));
        Response response = send(
                simulation.fleet.intakes.get(0),
                "POST",
                "/v1/lanes/hold/messages",
                TestConfiguration.callerKey(0),
                "{\"id\":\"a\",\"body\":{}}",
                Map.of());
        String handle = FleetSimulation.json(response).path("handle").asText();
        assertEquals(
                "400 bad_request",
                statusAndKind("POST", "/v1/messages/" + handle + "/outcome", key, done.replace("\"r\"", "\"\"")));
        Response lateOutcome = send(
                simulation.fleet.intakes.get(0),
                "POST",
                "/v1/messages/" + handle + "/outcome",
                key,
                done.replace("done", "failed"),
                Map.of());
        assertEquals(
                "200 false done",
                lateOutcome.status() + " "
                        + FleetSimulation.json(lateOutcome).path("recorded").asBoolean() + " "
                        + FleetSimulation.json(lateOutcome).path("state").asText());
        assertEquals(
                "403 forbidden",
                statusAndKind("POST", "/v1/messages/" + handle + "/outcome", key, done.replace("p0", "p9")));
    }

    @Test
    void messagesOfOtherCallersAreHidden() {
        Response response = send(
                simulation.fleet.intakes.get(0),
                "POST",
                "/v1/lanes/hold/messages",
                TestConfiguration.callerKey(0),
                "{\"id\":\"a\",\"body\":{}}",
                Map.of());
        String handle = FleetSimulation.json(response).path("handle").asText();
        assertEquals("200 ", statusAndKind("GET", "/v1/messages/" + handle, TestConfiguration.callerKey(0), ""));
        assertEquals(
                "404 not_found", statusAndKind("GET", "/v1/messages/" + handle, TestConfiguration.callerKey(1), ""));
    }

    @Test
    void exceedingTheRateLimitIsThrottledWithRetryAfter() {
        List<Response> responses = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            simulation.fleet.request(
                    simulation.fleet.intakes.get(i % 2),
                    new Request(
                            "POST",
                            "/v1/lanes/hold/messages",
                            Map.of("authorization", "Bearer " + TestConfiguration.callerKey(1)),
                            ("{\"id\":\"n" + i + "\",\"body\":{}}").getBytes(StandardCharsets.UTF_8)),
                    Duration.ofSeconds(6),
                    response -> responses.add(response.orElseThrow()));
        }
        simulation.fleet.sim.run(Duration.ofSeconds(7));
        List<Response> refused =
                responses.stream().filter(response -> response.status() == 429).toList();
        assertTrue(refused.size() > 50, "refused " + refused.size());
        assertTrue(refused.stream()
                .allMatch(response -> Integer.parseInt(response.headers().get("Retry-After")) >= 1));
        assertTrue(
                responses.stream().filter(response -> response.status() == 202).count() <= 30 + 20,
                "more than the burst and one second at the rate");
    }

    @Test
    void invalidOrStaleLayoutsChangeNothing() {
        String controlNode = simulation.fleet.controlNodes.get(1);
        Map<String, String> baseHeaders = Map.of("if-match", "1", "x-request-id", "bad");
        Response response = send(
                controlNode,
                "PUT",
                "/v1/layout",
                "",
                "{\"lanes\":{\"x\":{\"service\":\"no\",\"ordering\":\"none\","
                        + "\"timeLimitMs\":5000,\"attempts\":1}},\"tenants\":{\"T!\":{\"ratePerS\":1,\"burstSize\":1}}}",
                baseHeaders);
        assertEquals(422, response.status());
        Response invalidValue = send(
                controlNode,
                "PUT",
                "/v1/layout",
                "",
                "{\"services\":{\"s\":{\"kind\":\"processors\"}},\"lanes\":{\"x\":"
                        + "{\"service\":\"s\",\"timeLimitMs\":5000,\"attempts\":1,\"ifUnclear\":\"perhaps\"}}}",
                baseHeaders);
        assertEquals(
                "422 lanes.x.ifUnclear",
                invalidValue.status() + " "
                        + FleetSimulation.json(invalidValue)
                                .path("details")
                                .path(0)
                                .asText()
                                .replaceAll(":.*", ""));
        Response stale =
                send(controlNode, "PUT", "/v1/layout", "", "{}", Map.of("if-match", "0", "x-request-id", "stale"));
        assertEquals(412, stale.status());
        assertEquals(
                "1",
                FleetSimulation.json(stale).path("details").path(0).asText(),
                "the current version must be in the details");
        assertEquals(
                400, send(controlNode, "PUT", "/v1/layout", "", "{}", Map.of()).status());
        assertEquals(
                "\"1\"",
                send(controlNode, "GET", "/v1/layout", "", "", Map.of())
                        .headers()
                        .get("ETag"));
        Response accepted =
                send(controlNode, "PUT", "/v1/layout", "", "{}", Map.of("if-match", "1", "x-request-id", "good"));
        Response repeated = send(
                simulation.fleet.controlNodes.get(2),
                "PUT",
                "/v1/layout",
                "",
                "{}",
                Map.of("if-match", "1", "x-request-id", "good"));
        assertEquals(2, FleetSimulation.json(accepted).path("version").asInt());
        assertEquals(2, FleetSimulation.json(repeated).path("version").asInt());
        assertTrue(FleetSimulation.json(repeated).path("repeated").asBoolean());
    }
}

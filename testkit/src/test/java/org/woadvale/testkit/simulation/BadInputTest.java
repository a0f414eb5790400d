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

/** Bad input gets a definite kind, and nothing is stored. */
class BadInputTest {
    private final FleetSimulation simulation;

    BadInputTest() throws ServiceException {
        simulation = new FleetSimulation(1, 2, 3, 2).startAll();
        simulation.w.sim.run(Duration.ofSeconds(3));
    }

    private Response ask(String to, String method, String path, String key, String body, Map<String, String> more) {
        Map<String, String> headers = new HashMap<>(more);
        headers.put("authorization", "Bearer " + key);
        List<Response> got = new ArrayList<>();
        simulation.w.request(
                to,
                new Request(method, path, headers, body.getBytes(StandardCharsets.UTF_8)),
                Duration.ofSeconds(6),
                response -> got.add(response.orElseThrow()));
        simulation.w.sim.run(Duration.ofSeconds(7));
        return got.get(0);
    }

    private String kind(String method, String path, String key, String body) {
        Response response = ask(simulation.w.intakes.get(0), method, path, key, body, Map.of());
        return response.status() + " "
                + FleetSimulation.json(response).path("kind").asText();
    }

    private long stored() {
        Response response = ask(
                simulation.w.intakes.get(1),
                "GET",
                "/v1/messages?state=done",
                TestConfiguration.callerKey(0),
                "",
                Map.of());
        return FleetSimulation.json(response).path("messages").size();
    }

    @Test
    void handInsThatCannotBeTakenAreRefusedDefinitely() {
        String key = TestConfiguration.callerKey(0);
        String good = "{\"id\":\"a\",\"body\":{}}";
        String hold = "/v1/lanes/hold/messages";
        assertEquals("400 bad_request", kind("POST", hold, key, "{\"id\":"));
        assertEquals("400 bad_request", kind("POST", hold, key, "{\"id\":\"a b\",\"body\":{}}"));
        assertEquals("400 bad_request", kind("POST", hold, key, "{\"id\":\"a\"}"));
        assertEquals("400 bad_request", kind("POST", hold, key, "{\"id\":\"a\",\"body\":{},\"delayMs\":-1}"));
        assertEquals("400 bad_request", kind("POST", hold, key, "{\"id\":\"a\",\"body\":{},\"more\":1}"));
        assertEquals("400 bad_request", kind("POST", hold, key, "{\"id\":\"a\",\"body\":{},\"orderingKey\":\"k\"}"));
        assertEquals("400 bad_request", kind("POST", "/v1/lanes/accept/messages", key, good));
        assertEquals("404 unknown_lane", kind("POST", "/v1/lanes/none/messages", key, good));
        assertEquals("401 unauthorised", kind("POST", hold, "wrong", good));
        assertEquals("403 forbidden", kind("POST", "/v1/services/reserve/fetch", key, "{\"processor\":\"p\"}"));
        assertEquals("404 not_found", kind("GET", "/v1/messages/m0-99", key, ""));
        assertEquals("404 not_found", kind("GET", "/v1/messages/..%2f", key, ""));
        assertEquals("404 not_found", kind("DELETE", hold, key, ""));
        assertEquals(0, stored());
        assertEquals("202 ", kind("POST", hold, key, good));
        assertEquals(1, stored());
        assertEquals("202 ", kind("POST", hold, key, good));
        assertEquals("409 conflict", kind("POST", hold, key, "{\"id\":\"a\",\"body\":{\"other\":1}}"));
        assertEquals(1, stored());
    }

    /** An unknown processor, service, message; a report for what has ended changes nothing. */
    @Test
    void processorsGetDefiniteAnswers() {
        String key = TestConfiguration.fetchKey(TestConfiguration.GROUP);
        String fetch = "/v1/services/" + TestConfiguration.GROUP + "/fetch";
        assertEquals("403 forbidden", kind("POST", fetch, key, "{\"processor\":\"nobody\"}"));
        assertEquals("403 forbidden", kind("POST", "/v1/services/nowhere/fetch", key, "{\"processor\":\"p0\"}"));
        assertEquals("400 bad_request", kind("POST", fetch, key, "{\"processor\":\"p0\",\"fetch\":\"a b\"}"));
        String done = "{\"processor\":\"p0\",\"attempt\":1,\"outcome\":\"done\",\"receipt\":\"r\"}";
        assertEquals("404 not_found", kind("POST", "/v1/messages/m0-99/outcome", key, done));
        Response response = ask(
                simulation.w.intakes.get(0),
                "POST",
                "/v1/lanes/hold/messages",
                TestConfiguration.callerKey(0),
                "{\"id\":\"a\",\"body\":{}}",
                Map.of());
        String handle = FleetSimulation.json(response).path("handle").asText();
        assertEquals(
                "400 bad_request",
                kind("POST", "/v1/messages/" + handle + "/outcome", key, done.replace("\"r\"", "\"\"")));
        Response late = ask(
                simulation.w.intakes.get(0),
                "POST",
                "/v1/messages/" + handle + "/outcome",
                key,
                done.replace("done", "failed"),
                Map.of());
        assertEquals(
                "200 false done",
                late.status() + " "
                        + FleetSimulation.json(late).path("recorded").asBoolean() + " "
                        + FleetSimulation.json(late).path("state").asText());
        assertEquals(
                "403 forbidden", kind("POST", "/v1/messages/" + handle + "/outcome", key, done.replace("p0", "p9")));
    }

    @Test
    void othersMessagesAreNotShown() {
        Response response = ask(
                simulation.w.intakes.get(0),
                "POST",
                "/v1/lanes/hold/messages",
                TestConfiguration.callerKey(0),
                "{\"id\":\"a\",\"body\":{}}",
                Map.of());
        String handle = FleetSimulation.json(response).path("handle").asText();
        assertEquals("200 ", kind("GET", "/v1/messages/" + handle, TestConfiguration.callerKey(0), ""));
        assertEquals("404 not_found", kind("GET", "/v1/messages/" + handle, TestConfiguration.callerKey(1), ""));
    }

    @Test
    void overTheAllowanceIsThrottledWithATimeToComeBack() {
        List<Response> all = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            simulation.w.request(
                    simulation.w.intakes.get(i % 2),
                    new Request(
                            "POST",
                            "/v1/lanes/hold/messages",
                            Map.of("authorization", "Bearer " + TestConfiguration.callerKey(1)),
                            ("{\"id\":\"n" + i + "\",\"body\":{}}").getBytes(StandardCharsets.UTF_8)),
                    Duration.ofSeconds(6),
                    response -> all.add(response.orElseThrow()));
        }
        simulation.w.sim.run(Duration.ofSeconds(7));
        List<Response> refused =
                all.stream().filter(response -> response.status() == 429).toList();
        assertTrue(refused.size() > 50, "refused " + refused.size());
        assertTrue(refused.stream()
                .allMatch(response -> Integer.parseInt(response.headers().get("Retry-After")) >= 1));
        assertTrue(
                all.stream().filter(response -> response.status() == 202).count() <= 30 + 20,
                "burst and a second of the rate");
    }

    @Test
    void layoutsThatCannotBeTakenChangeNothing() {
        String l = simulation.w.controlNodes.get(1);
        Map<String, String> base = Map.of("if-match", "1", "x-request-id", "bad");
        Response response = ask(
                l,
                "PUT",
                "/v1/layout",
                "",
                "{\"lanes\":{\"x\":{\"service\":\"no\",\"ordering\":\"none\","
                        + "\"timeLimitMs\":5000,\"attempts\":1}},\"tenants\":{\"T!\":{\"ratePerS\":1,\"burstSize\":1}}}",
                base);
        assertEquals(422, response.status());
        Response unclear = ask(
                l,
                "PUT",
                "/v1/layout",
                "",
                "{\"services\":{\"s\":{\"kind\":\"processors\"}},\"lanes\":{\"x\":"
                        + "{\"service\":\"s\",\"timeLimitMs\":5000,\"attempts\":1,\"ifUnclear\":\"perhaps\"}}}",
                base);
        assertEquals(
                "422 lanes.x.ifUnclear",
                unclear.status() + " "
                        + FleetSimulation.json(unclear)
                                .path("details")
                                .path(0)
                                .asText()
                                .replaceAll(":.*", ""));
        Response stale = ask(l, "PUT", "/v1/layout", "", "{}", Map.of("if-match", "0", "x-request-id", "stale"));
        assertEquals(412, stale.status());
        assertEquals("1", FleetSimulation.json(stale).path("details").path(0).asText(), "the present version is named");
        assertEquals(400, ask(l, "PUT", "/v1/layout", "", "{}", Map.of()).status());
        assertEquals(
                "\"1\"", ask(l, "GET", "/v1/layout", "", "", Map.of()).headers().get("ETag"));
        Response first = ask(l, "PUT", "/v1/layout", "", "{}", Map.of("if-match", "1", "x-request-id", "good"));
        Response again = ask(
                simulation.w.controlNodes.get(2),
                "PUT",
                "/v1/layout",
                "",
                "{}",
                Map.of("if-match", "1", "x-request-id", "good"));
        assertEquals(2, FleetSimulation.json(first).path("version").asInt());
        assertEquals(2, FleetSimulation.json(again).path("version").asInt());
        assertTrue(FleetSimulation.json(again).path("repeated").asBoolean());
    }
}

package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.ConfigurationStub;

/**
 * Reading and changing the configuration over the operator's HTTP API (docs/design.md, section 6.8; docs/platform.md,
 * section 3).
 */
class ControlTest {
    private PlatformFixture fixture;

    @BeforeEach
    void setUp() throws ServiceException {
        fixture = new PlatformFixture(21, 2);
    }

    private Response get(int controlNode) {
        return fixture.fleet
                .requestAndWait(
                        fixture.fleet.controlNodes.get(controlNode),
                        new Request("GET", "/-/configuration", Map.of(), new byte[0]),
                        Duration.ofSeconds(4))
                .orElseThrow();
    }

    private static ConfigurationStub.Route route(String name, String prefix) {
        return PlatformFixture.route(name, prefix, "desk", false);
    }

    private ConfigurationStub withRoutes(long revision, ConfigurationStub.Route... routes) {
        List<ConfigurationStub.Route> all = new ArrayList<>(fixture.configurationStub.routes());
        all.addAll(List.of(routes));
        return fixture.configurationStub.routes(all).with(revision);
    }

    @Test
    void textIsKeptAndReturnedByteForByte() {
        String reformatted = fixture.configurationStub
                .with(9)
                .text()
                .replace("\"limits\":", "  \"limits\" :\n\t")
                .replace("{\"maxBody", "{\"unk\u00fcnown\":null,\"maxBody");
        assertEquals(200, fixture.put(reformatted, 3, 0).status());
        for (int node = 0; node < 3; node++) {
            assertEquals(reformatted, new String(get(node).body(), StandardCharsets.UTF_8));
        }
    }

    @Test
    void sameTextIsAcceptedAgainAtAnyControlNode() {
        ConfigurationStub next = withRoutes(9, route("r-new", "/new/"));
        assertEquals(200, fixture.put(next, 3, 0).status());
        assertEquals(
                200,
                fixture.put(withRoutes(20, route("r-other", "/other/")), 9, 1).status());
        for (int node = 0; node < 3; node++) {
            assertEquals(200, fixture.put(next, 3, node).status());
        }
        assertEquals(
                412,
                fixture.put(withRoutes(21, route("r-late", "/late/")), 9, 2).status());
    }

    /** Invalid configurations are rejected with details and never take effect, also after a restart of the core. */
    @Test
    void invalidOnesAreRefusedAndNeverInForce() throws ServiceException {
        List<String> invalid = List.of(
                fixture.configurationStub.with(9).text().substring(0, 300),
                withRoutes(9, PlatformFixture.route("r-x", "/x/", "nobody", false))
                        .text(),
                withRoutes(9, route("r-x", "/x/"), route("r-y", "/x/")).text(),
                withRoutes(
                                9,
                                new ConfigurationStub.Route(
                                        "r-x", PlatformFixture.HOST, "/x/", "desk", 0, 3, false, 90, false))
                        .text(),
                withRoutes(3, route("r-x", "/x/")).text(),
                withRoutes(2, route("r-x", "/x/")).text(),
                withRoutes(9, route("r-x", "/x/"))
                        .tenants(List.of(
                                new ConfigurationStub.Tenant("a", List.of(PlatformFixture.KEY), 9, 9),
                                new ConfigurationStub.Tenant("b", List.of(PlatformFixture.KEY), 9, 9)))
                        .text());
        assertRejected(invalid);
        fixture.fleet.controlNodes.forEach(fixture.fleet::kill);
        fixture.run(500);
        for (String node : fixture.fleet.controlNodes) {
            fixture.fleet.restart(node);
        }
        fixture.run(5000);
        assertRejected(invalid);
        assertEquals(404, fixture.submit("/x/1", "b", Map.of()).status());
        assertEquals(fixture.configurationStub.text(), new String(get(0).body()));
    }

    private void assertRejected(List<String> invalid) {
        for (String text : invalid) {
            Response response = fixture.put(text, 3, invalid.indexOf(text) % 3);
            assertEquals(400, response.status(), text.substring(0, 80));
            assertTrue(
                    Callers.json(response).path("details").size() > 0,
                    "details must name the invalid field: " + new String(response.body()));
        }
        assertEquals(
                400,
                fixture.fleet
                        .requestAndWait(
                                fixture.fleet.controlNodes.get(0),
                                new Request(
                                        "PUT",
                                        "/-/configuration",
                                        Map.of(),
                                        fixture.configurationStub.with(9).text().getBytes()),
                                Duration.ofSeconds(4))
                        .orElseThrow()
                        .status());
    }

    /** Two operators change the same base concurrently at different control nodes. */
    @Test
    void exactlyOneOfTwoConcurrentChangesIsAccepted() {
        for (int round = 0; round < 5; round++) {
            long base = round == 0 ? 3 : 10L * round;
            List<Integer> statuses = new ArrayList<>();
            List<String> texts = List.of(
                    withRoutes(base + 10 - (round == 0 ? 3 : 0), route("r-a" + round, "/a" + round + "/"))
                            .text(),
                    withRoutes(base + 10 - (round == 0 ? 3 : 0), route("r-b" + round, "/b" + round + "/"))
                            .text());
            for (int i = 0; i < 2; i++) {
                fixture.fleet.request(
                        fixture.fleet.controlNodes.get((round + i) % 3),
                        new Request(
                                "PUT",
                                "/-/configuration",
                                Map.of("if-match", Long.toString(base)),
                                texts.get(i).getBytes()),
                        Duration.ofSeconds(5),
                        response -> statuses.add(response.map(Response::status).orElse(0)));
            }
            fixture.fleet.sim.runUntil(() -> statuses.size() == 2, Duration.ofSeconds(6));
            assertEquals(Set.of(200, 412), Set.copyOf(statuses));
            assertTrue(texts.contains(new String(get(2).body())));
        }
    }

    @Test
    void routeIsFoundByHostAndTheLongestPrefix() {
        ConfigurationStub next = withRoutes(
                9,
                new ConfigurationStub.Route(
                        "r-long", PlatformFixture.HOST, "/push/deep/", "desk", 1500, 3, false, 90, false),
                new ConfigurationStub.Route("r-host", "other.example", "/push/", "desk", 1500, 3, false, 90, true));
        assertEquals(200, fixture.put(next, 3, 0).status());
        fixture.run(3000);
        fixture.sendUntilAccepted("/push/deep/1", "deep", Map.of());
        assertEquals("deep", new String(fixture.pull("i", 3000).body()));
        fixture.sendUntilAccepted("/push/1", "host", Map.of("host", "OTHER.example:80"));
        Response otherHost = fixture.pull("i", 3000);
        assertEquals("host", new String(otherHost.body()));
        fixture.sendUntilAccepted("/push/2", "flat", Map.of());
        assertEquals(204, fixture.pull("i", 1500).status(), "the message is for the other service");
        for (Map<String, String> wrong : List.of(Map.of("host", "nobody.example"), Map.of("host", ""))) {
            assertEquals(404, fixture.submit("/push/1", "b", wrong).status(), wrong.toString());
        }
        assertEquals(404, fixture.submit("/pus", "b", Map.of()).status());
    }

    @Test
    void keysAreRequired() {
        assertEquals(
                401,
                fixture.submit("/push/1", "b", Map.of("authorization", "Token wrong"))
                        .status());
        assertEquals(
                401, fixture.submit("/push/1", "b", Map.of("authorization", "")).status());
        assertEquals(
                401,
                fixture.submit("/push/1", "b", Map.of("authorization", "Bearer " + PlatformFixture.KEY))
                        .status());
        assertEquals(
                200,
                fixture.put(
                                fixture.configurationStub
                                        .with(9)
                                        .tenants(List.of(
                                                new ConfigurationStub.Tenant("tenant-a", List.of("fresh"), 200, 200))),
                                3,
                                0)
                        .status());
        fixture.run(3000);
        assertEquals(401, fixture.submit("/push/1", "b", Map.of()).status());
        assertEquals(
                202,
                fixture.submit("/push/1", "b", Map.of("authorization", "Token fresh"))
                        .status());
    }

    @Test
    void invalidHeadersAreRejected() {
        assertEquals(
                400, fixture.submit("/push/1", "b", Map.of("x-delay-ms", "-1")).status());
        assertEquals(
                400,
                fixture.submit("/push/1", "b", Map.of("x-delay-ms", "soon")).status());
        assertEquals(
                400, fixture.submit("/push/1", "b", Map.of("x-attempt-id", "")).status());
        assertEquals(
                400,
                fixture.submit("/push/1", "b", Map.of("x-attempt-id", "a b")).status());
        Optional<Response> unknownPath = fixture.fleet.requestAndWait(
                fixture.fleet.controlNodes.get(0),
                new Request("GET", "/-/nothing", Map.of(), new byte[0]),
                Duration.ofSeconds(4));
        assertEquals(404, unknownPath.orElseThrow().status());
    }
}

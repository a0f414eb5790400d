package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.ConfigurationStub;
import reactor.core.publisher.Mono;

/** Scripted clients, processors and an operator around a small fleet that is reached through the platform's API. */
final class PlatformFixture {
    static final String HOST = "lode.example";
    static final String KEY = "key-of-a";
    static final Duration LIST_READ_TIME = Duration.ofSeconds(3);

    /** A request that a scripted processor received, and when. */
    record ReceivedRequest(Request request, Duration receivedAt) {}

    final SimulatedPlatformFleet fleet;
    final ProcessorList processorList;
    final List<ReceivedRequest> received = new ArrayList<>();
    ConfigurationStub configurationStub = PlatformFixture.defaultConfiguration();
    private int submissions;

    PlatformFixture(long seed, int intakes) throws ServiceException {
        this(seed, intakes, SimulatedFleet.LARGE_RING);
    }

    /** A fleet whose ring files have the given size in bytes. */
    PlatformFixture(long seed, int intakes, int ringBytes) throws ServiceException {
        fleet = new SimulatedPlatformFleet(seed, intakes, 3, ringBytes, FleetOverrides.none());
        processorList = new ProcessorList(fleet.sim, Duration.ofMillis(800), 44);
        fleet.setProcessorListSource(processorList::page);
        assertEquals(200, put(configurationStub, 0, 0).status());
        assertTrue(fleet.sim.runUntil(fleet::ready, Duration.ofSeconds(40)), "the fleet did not become ready");
    }

    static ConfigurationStub defaultConfiguration() {
        List<ConfigurationStub.Route> routes = List.of(
                route("r-pull", "/pull/", "desk", false),
                route("r-push", "/push/", "book", false),
                route("r-order", "/order/", "book", true),
                route("r-dedup", "/dedup/", "same", true),
                route("r-fixed", "/fixed/", "far", false),
                route("r-pull-order", "/turn/", "desk", true));
        List<ConfigurationStub.Service> services = List.of(
                service("desk", true, false, Optional.empty()),
                service("book", false, false, Optional.empty()),
                service("same", false, true, Optional.empty()),
                new ConfigurationStub.Service("far", 20, 35, true, false, Optional.of("172.20.0.3:8748")));
        return new ConfigurationStub(
                3,
                routes,
                services,
                List.of(
                        new ConfigurationStub.Tenant("tenant-a", List.of(KEY), 200, 200),
                        new ConfigurationStub.Tenant("tenant-b", List.of("key-of-b"), 200, 200)));
    }

    static ConfigurationStub.Route route(String name, String prefix, String service, boolean inOrder) {
        return new ConfigurationStub.Route(name, HOST, prefix, service, 1500, 3, inOrder, 90, false);
    }

    private static ConfigurationStub.Service service(
            String name, boolean pull, boolean dedup, Optional<String> address) {
        return new ConfigurationStub.Service(name, 0, 100, dedup, pull, address);
    }

    Response put(ConfigurationStub stub, long base, int controlNode) {
        return put(stub.text(), base, controlNode);
    }

    Response put(String text, long base, int firstControlNode) {
        for (int i = 0; i < 20; i++) {
            Optional<Response> response = fleet.requestAndWait(
                    fleet.controlNodes.get((firstControlNode + i) % 3),
                    new Request(
                            "PUT",
                            "/-/configuration",
                            Map.of("if-match", Long.toString(base)),
                            text.getBytes(StandardCharsets.UTF_8)),
                    Duration.ofSeconds(4));
            if (response.isPresent() && response.get().status() < 500) {
                return response.get();
            }
        }
        throw new AssertionError("no control node gave a definite answer to the configuration");
    }

    /** Adds a processor to the list whose answers come from the script, and waits until the fleet has read the list. */
    void processor(String id, String service, String address, Function<Request, Mono<Response>> script) {
        fleet.processorNetwork.place(address, request -> {
            received.add(new ReceivedRequest(request, fleet.sim.now()));
            return script.apply(request);
        });
        processorList.put(id, service, address, 4, "ready");
        fleet.sim.run(LIST_READ_TIME);
    }

    static Response success(Request request) {
        return new Response(
                200,
                Map.of(
                        "X-Attempt-Id",
                        request.headers().getOrDefault("x-attempt-id", ""),
                        "X-Server-Seal",
                        "seal-" + request.headers().getOrDefault("x-attempt-id", "")),
                new byte[0]);
    }

    static Response answer(Request request, int status) {
        return new Response(
                status, Map.of("X-Attempt-Id", request.headers().getOrDefault("x-attempt-id", "")), new byte[0]);
    }

    Response submit(String path, String body, Map<String, String> more) {
        Map<String, String> headers = new LinkedHashMap<>(Map.of("host", HOST, "authorization", "Token " + KEY));
        headers.put("x-attempt-id", "a" + submissions++);
        headers.putAll(more);
        return sendToIntake("POST", path, headers, body);
    }

    /** Submits a message until it is accepted and returns its handle; temporary rejections are retried. */
    String sendUntilAccepted(String path, String body, Map<String, String> more) {
        Response response = submit(path, body, more);
        for (int i = 0; i < 20 && (response.status() == 503 || response.status() == 429); i++) {
            run(100);
            response = submit(path, body, more);
        }
        assertEquals("202 ", response.status() + " " + new String(response.body()));
        return response.headers().get("X-Message-Ref");
    }

    Response sendToIntake(String method, String path, Map<String, String> headers, String body) {
        return fleet.requestAndWait(
                        fleet.intakes.get(0),
                        new Request(method, path, headers, body.getBytes(StandardCharsets.UTF_8)),
                        Duration.ofSeconds(25))
                .orElseThrow();
    }

    Response pull(String instance, long waitMs) {
        return sendToIntake(
                "POST", "/-/pull/desk", Map.of("x-instance-id", instance, "x-poll-wait-ms", Long.toString(waitMs)), "");
    }

    int extendLease(Response pulled) {
        return sendToIntake(
                        "POST",
                        "/-/job-extend/" + pulled.headers().get("X-Attempt-Id"),
                        Map.of("x-lease-id", pulled.headers().get("X-Lease-Id")),
                        "")
                .status();
    }

    int reportOutcome(Response pulled, int outcome) {
        Map<String, String> headers = new LinkedHashMap<>(
                Map.of("x-lease-id", pulled.headers().get("X-Lease-Id"), "x-job-outcome", Integer.toString(outcome)));
        if (outcome == 200) {
            headers.put("x-server-seal", "seal-" + pulled.headers().get("X-Lease-Id"));
        }
        return sendToIntake("POST", "/-/job-end/" + pulled.headers().get("X-Attempt-Id"), headers, "")
                .status();
    }

    JsonNode messageStatus(String handle) {
        Response response =
                sendToIntake("GET", "/-/message/" + handle, Map.of("host", HOST, "authorization", "Token " + KEY), "");
        assertEquals(200, response.status());
        return Callers.json(response);
    }

    Response messageBody(String handle) {
        return sendToIntake(
                "GET", "/-/message-body/" + handle, Map.of("host", HOST, "authorization", "Token " + KEY), "");
    }

    void run(long ms) {
        fleet.sim.run(Duration.ofMillis(ms));
    }
}

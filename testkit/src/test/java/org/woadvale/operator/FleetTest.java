package org.woadvale.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.woadvale.client.ApiException;
import org.woadvale.client.model.Message;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.controlplane.ControlPlaneProgram;
import org.woadvale.testkit.cluster.ClientLoad;
import org.woadvale.testkit.cluster.Fleet;
import org.woadvale.testkit.cluster.Load;
import org.woadvale.testkit.cluster.NodeProcess;
import org.woadvale.testkit.cluster.Shape;
import org.woadvale.testkit.cluster.StubEnvironment;
import org.woadvale.testkit.stub.NeverList;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** Operates a fleet of real processes under traffic with the shipped runbooks. Waits only for conditions. */
class FleetTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(60);

    private Fleet fleet;
    private StubEnvironment stubEnvironment;
    private Load load;
    private RunbookHarness runbooks;

    private static String http(NodeProcess process) {
        return "http://" + process.http;
    }

    private static String list(List<NodeProcess> processes) {
        return processes.stream().map(FleetTest::http).collect(Collectors.joining(","));
    }

    private void awaitAccepted(String when) {
        stubEnvironment.await(
                "an accepted submission " + when,
                LONG_TIMEOUT,
                () -> load.submitRandom(0).join().outcome() == Observations.SubmissionOutcome.ACCEPTED);
    }

    @Test
    void oneDay(@TempDir Path root) throws Exception {
        fleet = new Fleet(Shape.SMALL, root);
        try (Fleet f = fleet;
                StubEnvironment environment =
                        new StubEnvironment(f, Shape.SMALL, new TestConfiguration(8, 2, 45, 60, 26))) {
            stubEnvironment = environment;
            runbooks = new RunbookHarness(environment);
            load = new Load(environment, f, 5);
            f.startAll();
            environment.await(
                    "readiness of the control nodes",
                    LONG_TIMEOUT,
                    () -> f.controlNodes.stream().allMatch(environment::ready));
            environment.putConfiguration(environment.configuration(), 0, "first");
            environment.listProcessors();
            environment.await("readiness", LONG_TIMEOUT, () -> f.all().stream().allMatch(environment::ready));
            awaitAccepted("after the start");
            generatedClient();
            CompletableFuture<Void> traffic = CompletableFuture.runAsync(() -> load.run(Duration.ofSeconds(12), 40));
            f.stores.get(0).kill();
            awaitAccepted("with a store killed");
            f.controlNodes.get(0).kill();
            awaitAccepted("with a control node killed as well");
            f.stores.get(0).start();
            f.controlNodes.get(0).start();
            environment.await(
                    "readiness after the restarts",
                    LONG_TIMEOUT,
                    () -> f.all().stream().allMatch(environment::ready));
            changeConfigurations();
            roll();
            replaceControlNode(root);
            replaceStore();
            traffic.join();
            f.killAll();
            for (NodeProcess process : f.all()) {
                process.start();
            }
            runbooks.run(
                    "check-after-outage",
                    Map.of("lighthouses", list(f.controlNodes), "stores", list(f.stores), "intakes", list(f.intakes)));
            awaitAccepted("after the outage");
            boolean settled = load.settle(Duration.ofSeconds(120));
            assertEquals(List.of(), load.broken(), "every 202 carries a handle");
            assertTrue(settled, () -> "not every accepted message has ended: " + load.states() + " " + load.unended());
            List<String> violations = new NeverList(environment.observations).violations();
            assertEquals(List.of(), violations);
            assertTrue(
                    load.states().getOrDefault("done", 0L) > 100, load.states().toString());
        }
    }

    /**
     * A caller with the client generated from the OpenAPI schema submits a message, reads its proof and gets the kind
     * of a refusal.
     */
    private void generatedClient() throws ApiException {
        ClientLoad client = new ClientLoad(fleet.intakes.get(0).http, TestConfiguration.callerKey(1));
        String handle = client.submit("hold", "generated");
        stubEnvironment.await("the end of " + handle, LONG_TIMEOUT, () -> client.isTerminal(handle));
        assertEquals(Message.StateEnum.DONE, client.show(handle).getState());
        assertTrue(client.show(handle).getProof().contains(handle), "the receipt contains the handle");
        ApiException refusal = assertThrows(ApiException.class, () -> client.submit("nowhere", "generated"));
        assertEquals(404, refusal.getCode());
        assertTrue(refusal.getResponseBody().contains("unknown_lane"), refusal.getResponseBody());
    }

    /** The runbooks require a ready core; on a loaded machine a partition may be without an owner for a moment. */
    private void awaitAllReady() {
        stubEnvironment.await(
                "readiness of all nodes",
                LONG_TIMEOUT,
                () -> fleet.all().stream().allMatch(stubEnvironment::ready));
    }

    private void changeConfigurations() throws Exception {
        awaitAllReady();
        Map<String, Configuration.Lane> lanes =
                new TreeMap<>(stubEnvironment.configuration().lanes());
        lanes.put("extra", lanes.get("hold"));
        Map<String, Configuration.Key> keys =
                new TreeMap<>(stubEnvironment.configuration().keys());
        keys.put(
                "guest",
                new Configuration.Key(
                        Configuration.Role.CALLER,
                        TestConfiguration.tenant(0),
                        "",
                        Configurations.sha256("guest-secret")));
        Configuration next = new Configuration(
                stubEnvironment.configuration().tenants(),
                stubEnvironment.configuration().services(),
                lanes,
                keys);
        String controlNode = http(fleet.controlNodes.get(1));
        String intake = http(fleet.intakes.get(0));
        runbooks.run(
                "put-layout",
                Map.of(
                        "lighthouse",
                        controlNode,
                        "intake",
                        intake,
                        "request",
                        "day-1",
                        "layout",
                        new String(Configurations.write(next), StandardCharsets.UTF_8)));
        runbooks.run(
                "withdraw-key",
                Map.of("lighthouse", controlNode, "intake", intake, "request", "day-2", "key", "guest"));
        var refused = stubEnvironment
                .client
                .send(
                        "POST",
                        fleet.intakes.get(0).http,
                        "/v1/lanes/hold/messages",
                        "guest-secret",
                        Configurations.write(Map.of("id", "x", "body", Map.of())),
                        Map.of())
                .join();
        assertEquals(401, refused.status());
        String address = Configurations.JSON
                .readTree(runbooks.send("GET", controlNode + "/v1/services/reserve/processors", Map.of(), new byte[0])
                        .body())
                .at("/p0/address")
                .asText();
        runbooks.run(
                "drain-processor",
                Map.of("lighthouse", controlNode, "service", "reserve", "processor", "p0", "address", address));
    }

    private void roll() throws ServiceException {
        awaitAllReady();
        runbooks.byHand(step -> {
            NodeProcess nodeProcess = fleet.all().stream()
                    .filter(process -> step.endsWith(process.http))
                    .findFirst()
                    .orElseThrow();
            nodeProcess.stop();
            nodeProcess.start();
        });
        runbooks.run("rolling-restart", Map.of("nodes", list(List.of(fleet.stores.get(1), fleet.intakes.get(1)))));
    }

    private void replaceControlNode(Path root) throws Exception {
        awaitAllReady();
        List<String> seeds =
                fleet.controlNodes.stream().map(process -> process.address).toList();
        fleet.controlNodes.get(2).kill();
        String address = Fleet.free();
        NodeProcess replacement = new NodeProcess(
                "control3",
                ControlPlaneProgram.class.getName(),
                root,
                address,
                Fleet.free(),
                "hall2",
                seeds,
                List.of(),
                true,
                true);
        fleet.controlNodes.set(2, replacement);
        runbooks.byHand(step -> replacement.start());
        runbooks.run(
                "replace-lighthouse",
                Map.of(
                        "lighthouse",
                        http(fleet.controlNodes.get(0)),
                        "newLighthouse",
                        http(replacement),
                        "first",
                        seeds.get(0),
                        "second",
                        seeds.get(1),
                        "third",
                        address));
        awaitAccepted("with a new control node");
    }

    private void replaceStore() throws Exception {
        awaitAllReady();
        fleet.stores.get(2).kill();
        NodeProcess replacement = fleet.dataNode("store3", "hall2", "store");
        fleet.stores.set(2, replacement);
        runbooks.byHand(step -> replacement.start());
        runbooks.run(
                "replace-store", Map.of("lighthouse", http(fleet.controlNodes.get(0)), "store", http(replacement)));
        awaitAccepted("with a new store");
    }
}

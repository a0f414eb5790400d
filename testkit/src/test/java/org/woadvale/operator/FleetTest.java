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

/** One day of a real fleet of processes, run by the shipped runbooks, under traffic. Waits only on conditions. */
class FleetTest {
    private static final Duration LONG = Duration.ofSeconds(60);

    private Fleet fleet;
    private StubEnvironment stubEnvironment;
    private Load load;
    private RunbookHarness runbooks;

    private static String http(NodeProcess process) {
        return "http://" + process.http;
    }

    private static String list(List<NodeProcess> vs) {
        return vs.stream().map(FleetTest::http).collect(Collectors.joining(","));
    }

    private void accepted(String when) {
        stubEnvironment.await(
                "a hand-in " + when, LONG, () -> load.one(0).join().said() == Observations.Said.ACCEPTED);
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
                    "the core's readiness", LONG, () -> f.controlNodes.stream().allMatch(environment::ready));
            environment.putConfiguration(environment.configuration(), 0, "first");
            environment.listProcessors();
            environment.await("readiness", LONG, () -> f.all().stream().allMatch(environment::ready));
            accepted("after the start");
            generatedClient();
            CompletableFuture<Void> traffic = CompletableFuture.runAsync(() -> load.run(Duration.ofSeconds(12), 40));
            f.stores.get(0).kill();
            accepted("with a store killed");
            f.controlNodes.get(0).kill();
            accepted("with a control node killed as well");
            f.stores.get(0).start();
            f.controlNodes.get(0).start();
            environment.await("return", LONG, () -> f.all().stream().allMatch(environment::ready));
            changeConfigurations();
            roll();
            replaceLighthouse(root);
            replaceStore();
            traffic.join();
            f.killAll();
            for (NodeProcess process : f.all()) {
                process.start();
            }
            runbooks.run(
                    "check-after-outage",
                    Map.of("lighthouses", list(f.controlNodes), "stores", list(f.stores), "intakes", list(f.intakes)));
            accepted("after the outage");
            boolean settled = load.settle(Duration.ofSeconds(120));
            assertEquals(List.of(), load.broken(), "every 202 carries a handle");
            assertTrue(settled, () -> "not every accepted message has ended: " + load.states() + " " + load.unended());
            List<String> bad = new NeverList(environment.seen).violations();
            assertEquals(List.of(), bad);
            assertTrue(
                    load.states().getOrDefault("done", 0L) > 100, load.states().toString());
        }
    }

    /**
     * A caller with the client generated from our schema: processors in, sees the proof, is told the kind of a refusal.
     */
    private void generatedClient() throws ApiException {
        ClientLoad client = new ClientLoad(fleet.intakes.get(0).http, TestConfiguration.callerKey(1));
        String handle = client.submit("hold", "generated");
        stubEnvironment.await("the end of " + handle, LONG, () -> client.over(handle));
        assertEquals(Message.StateEnum.DONE, client.show(handle).getState());
        assertTrue(client.show(handle).getProof().contains(handle), "the receipt names it");
        ApiException no = assertThrows(ApiException.class, () -> client.submit("nowhere", "generated"));
        assertEquals(404, no.getCode());
        assertTrue(no.getResponseBody().contains("unknown_lane"), no.getResponseBody());
    }

    /** The runbooks require a core that is ready; on a busy machine a part may be between two owners just then. */
    private void allReady() {
        stubEnvironment.await(
                "everybody's readiness", LONG, () -> fleet.all().stream().allMatch(stubEnvironment::ready));
    }

    private void changeConfigurations() throws Exception {
        allReady();
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
        String l = http(fleet.controlNodes.get(1));
        String i = http(fleet.intakes.get(0));
        runbooks.run(
                "put-layout",
                Map.of(
                        "lighthouse",
                        l,
                        "intake",
                        i,
                        "request",
                        "day-1",
                        "layout",
                        new String(Configurations.write(next), StandardCharsets.UTF_8)));
        runbooks.run("withdraw-key", Map.of("lighthouse", l, "intake", i, "request", "day-2", "key", "guest"));
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
                .readTree(runbooks.send("GET", l + "/v1/services/reserve/processors", Map.of(), new byte[0])
                        .body())
                .at("/p0/address")
                .asText();
        runbooks.run(
                "drain-processor",
                Map.of("lighthouse", l, "service", "reserve", "processor", "p0", "address", address));
    }

    private void roll() throws ServiceException {
        allReady();
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

    private void replaceLighthouse(Path root) throws Exception {
        allReady();
        List<String> seeds =
                fleet.controlNodes.stream().map(process -> process.address).toList();
        fleet.controlNodes.get(2).kill();
        String address = Fleet.free();
        NodeProcess fresh = new NodeProcess(
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
        fleet.controlNodes.set(2, fresh);
        runbooks.byHand(step -> fresh.start());
        runbooks.run(
                "replace-lighthouse",
                Map.of(
                        "lighthouse",
                        http(fleet.controlNodes.get(0)),
                        "newLighthouse",
                        http(fresh),
                        "first",
                        seeds.get(0),
                        "second",
                        seeds.get(1),
                        "third",
                        address));
        accepted("with a new control node");
    }

    private void replaceStore() throws Exception {
        allReady();
        fleet.stores.get(2).kill();
        NodeProcess fresh = fleet.dataNode("store3", "hall2", "store");
        fleet.stores.set(2, fresh);
        runbooks.byHand(step -> fresh.start());
        runbooks.run("replace-store", Map.of("lighthouse", http(fleet.controlNodes.get(0)), "store", http(fresh)));
        accepted("with a new store");
    }
}

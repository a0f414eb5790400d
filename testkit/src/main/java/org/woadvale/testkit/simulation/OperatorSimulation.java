package org.woadvale.testkit.simulation;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.ConfigurationStub;
import org.woadvale.testkit.stub.ObservationLog;

/**
 * The platform's operator: valid, concurrent and invalid configuration updates, and changes of access keys
 * (docs/platform.md, section 3).
 */
final class OperatorSimulation {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final long VALID_TIMEOUT_MS = 500;
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(1600);
    private final SimulatedPlatformFleet network;
    private final ObservationLog observations;
    private ConfigurationStub current;
    private int nextNumber;
    private int pendingUpdates;

    OperatorSimulation(SimulatedPlatformFleet network, ObservationLog observations, ConfigurationStub initial) {
        this.network = network;
        this.observations = observations;
        this.current = initial;
    }

    ConfigurationStub current() {
        return current;
    }

    /** Whether every update has received a conclusive response. */
    boolean idle() {
        return pendingUpdates == 0;
    }

    /** Sends the same update to a random control node, and again until the response is conclusive. */
    void put(ConfigurationStub stub, String text, long base, boolean valid) {
        pendingUpdates++;
        put(stub, text, base, valid, network.sim.now(), Duration.ofMillis(100));
    }

    void put(ConfigurationStub stub, long base) {
        put(stub, stub.text(), base, true);
    }

    private void put(ConfigurationStub stub, String text, long base, boolean valid, Duration sent, Duration delay) {
        String to = anyControlNode();
        Request request = new Request(
                "PUT",
                "/-/configuration",
                Map.of("if-match", Long.toString(base)),
                text.getBytes(StandardCharsets.UTF_8));
        Duration attempted = network.sim.now();
        network.request(to, request, REQUEST_TIMEOUT, response -> {
            int status = response.map(Response::status).orElse(0);
            observations.orderCalls.add(new ObservationLog.OrderCall(
                    text, base, stub.configRevision(), attempted, network.sim.now(), status));
            if (status == 0 || status >= 500 || status == 429 || status == 408) {
                Duration nextDelay =
                        delay.multipliedBy(2).compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : delay.multipliedBy(2);
                network.sim.after(delay, () -> put(stub, text, base, valid, sent, nextDelay));
                return;
            }
            pendingUpdates--;
            observations.configurations.add(new ObservationLog.ConfigurationSubmission(
                    stub, text, base, valid, sent, status, network.sim.now()));
            if (status == 200 && valid && stub.configRevision() > current.configRevision()) {
                current = stub;
            }
        });
    }

    void putInitial() {
        put(current, 0);
    }

    private long nextRevision() {
        return current.configRevision() + 1 + network.sim.random().nextInt(4);
    }

    private ConfigurationStub withAddedRoute(String name) {
        List<ConfigurationStub.Route> all = new ArrayList<>(current.routes());
        ConfigurationStub.Route template = all.get(network.sim.random().nextInt(3));
        all.add(new ConfigurationStub.Route(
                name,
                template.host(),
                "/" + name + "/",
                template.service(),
                template.timeoutMs(),
                template.maxAttempts(),
                template.inOrder(),
                template.retentionS(),
                false));
        return current.routes(all).with(nextRevision());
    }

    private Optional<ConfigurationStub.Route> addedRoute() {
        return current.routes().stream()
                .filter(route -> route.name().startsWith("new"))
                .findFirst();
    }

    /** Adds a route, or removes one that was added before. */
    void change() {
        Optional<ConfigurationStub.Route> old = addedRoute();
        if (old.isPresent() && network.sim.chance(0.5)) {
            put(
                    current.routes(current.routes().stream()
                                    .filter(route -> !route.equals(old.get()))
                                    .toList())
                            .with(nextRevision()),
                    current.configRevision());
        } else {
            put(withAddedRoute("new" + nextNumber++), current.configRevision());
        }
    }

    void race() {
        ConfigurationStub first = withAddedRoute("new" + nextNumber++);
        ConfigurationStub second = withAddedRoute("new" + nextNumber++);
        put(first, current.configRevision());
        put(second, current.configRevision());
    }

    /** Sends the next of six kinds of invalid configuration; none may ever take effect. */
    void bad() {
        ConfigurationStub stub = withAddedRoute("bad" + nextNumber);
        ConfigurationStub.Route route = stub.routes().get(stub.routes().size() - 1);
        List<ConfigurationStub.Route> others = new ArrayList<>(current.routes());
        String usedPrefix = others.get(0).pathPrefix();
        switch (nextNumber++ % 6) {
            case 0 -> put(stub, stub.text().substring(0, stub.text().length() / 2), current.configRevision(), false);
            case 1 -> bad(stub, others, changed(route, route.pathPrefix(), "nobody", VALID_TIMEOUT_MS));
            case 2 -> bad(stub, others, changed(route, usedPrefix, route.service(), VALID_TIMEOUT_MS));
            case 3 -> bad(stub, others, changed(route, route.pathPrefix(), route.service(), 0));
            case 4 -> bad(stub.with(current.configRevision()));
            default -> bad(stub.tenants(tenantsWithSharedKey()));
        }
    }

    private static ConfigurationStub.Route changed(
            ConfigurationStub.Route route, String prefix, String service, long timeoutMs) {
        return new ConfigurationStub.Route(route.name(), route.host(), prefix, service, timeoutMs, 3, false, 90, false);
    }

    private List<ConfigurationStub.Tenant> tenantsWithSharedKey() {
        List<ConfigurationStub.Tenant> tenants = new ArrayList<>(current.tenants());
        String usedKey = tenants.get(0).accessKeys().get(0);
        tenants.add(new ConfigurationStub.Tenant("thief", List.of(usedKey), 1, 1));
        return tenants;
    }

    private void bad(ConfigurationStub stub) {
        put(stub, stub.text(), current.configRevision(), false);
    }

    private void bad(ConfigurationStub stub, List<ConfigurationStub.Route> others, ConfigurationStub.Route invalid) {
        others.add(invalid);
        bad(stub.routes(others));
    }

    /** Removes the last additional key of a tenant, or adds one if it has only one. */
    void keys() {
        List<ConfigurationStub.Tenant> all = new ArrayList<>(current.tenants());
        int i = network.sim.random().nextInt(all.size());
        ConfigurationStub.Tenant tenant = all.get(i);
        List<String> keys = new ArrayList<>(tenant.accessKeys());
        if (keys.size() > 1) {
            keys.remove(keys.size() - 1);
        } else {
            keys.add("key-" + i + "-" + nextNumber++);
        }
        all.set(i, new ConfigurationStub.Tenant(tenant.name(), keys, tenant.ratePerS(), tenant.burstSize()));
        put(current.tenants(all).with(nextRevision()), current.configRevision());
    }

    /** Repeats an earlier update, accepted or rejected, unchanged; the response only goes to the history. */
    void repeatUpdate() {
        if (observations.orderCalls.isEmpty()) {
            return;
        }
        ObservationLog.OrderCall earlier =
                observations.orderCalls.get(network.sim.random().nextInt(observations.orderCalls.size()));
        Request request = new Request(
                "PUT",
                "/-/configuration",
                Map.of("if-match", Long.toString(earlier.base())),
                earlier.text().getBytes(StandardCharsets.UTF_8));
        Duration sent = network.sim.now();
        network.request(
                anyControlNode(),
                request,
                REQUEST_TIMEOUT,
                response -> observations.orderCalls.add(new ObservationLog.OrderCall(
                        earlier.text(),
                        earlier.base(),
                        earlier.revision(),
                        sent,
                        network.sim.now(),
                        response.map(Response::status).orElse(0))));
    }

    private String anyControlNode() {
        return network.controlNodes.get(network.sim.random().nextInt(network.controlNodes.size()));
    }

    /** Reads the current configuration; the last read of a run is the one that is checked. */
    void read() {
        String to = anyControlNode();
        Duration sent = network.sim.now();
        network.request(
                to, new Request("GET", "/-/configuration", Map.of(), new byte[0]), REQUEST_TIMEOUT, response -> {
                    if (response.isPresent() && response.get().status() == 200) {
                        String text = new String(response.get().body(), StandardCharsets.UTF_8);
                        observations.readBack.add(new ObservationLog.ReadBack(200, text, network.sim.now()));
                        observations.configurationReads.add(
                                new ObservationLog.ConfigurationRead(text, sent, network.sim.now()));
                    }
                });
    }
}

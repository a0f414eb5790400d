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

/** The platform's operator: versions, races, bad ones, keys that come and go. docs/platform.md 3 */
final class OperatorSimulation {
    private static final Duration CALL = Duration.ofSeconds(2);
    private static final Duration LONGEST = Duration.ofMillis(1600);
    private final SimulatedPlatformFleet network;
    private final ObservationLog seen;
    private ConfigurationStub now;
    private int n;
    private int open;

    OperatorSimulation(SimulatedPlatformFleet network, ObservationLog seen, ConfigurationStub first) {
        this.network = network;
        this.seen = seen;
        this.now = first;
    }

    ConfigurationStub now() {
        return now;
    }

    /** Nothing of its is without a clear answer. */
    boolean idle() {
        return open == 0;
    }

    /** Sent as it was, to any control node, until the answer is clear. */
    void put(ConfigurationStub stub, String text, long base, boolean valid) {
        open++;
        put(stub, text, base, valid, network.sim.now(), Duration.ofMillis(100));
    }

    void put(ConfigurationStub stub, long base) {
        put(stub, stub.text(), base, true);
    }

    private void put(ConfigurationStub stub, String text, long base, boolean valid, Duration sent, Duration pause) {
        String to = anyControlNode();
        Request request = new Request(
                "PUT",
                "/-/configuration",
                Map.of("if-match", Long.toString(base)),
                text.getBytes(StandardCharsets.UTF_8));
        Duration tried = network.sim.now();
        network.request(to, request, CALL, response -> {
            int status = response.map(Response::status).orElse(0);
            seen.orderCalls.add(
                    new ObservationLog.OrderCall(text, base, stub.configRevision(), tried, network.sim.now(), status));
            if (status == 0 || status >= 500 || status == 429 || status == 408) {
                Duration next = pause.multipliedBy(2).compareTo(LONGEST) > 0 ? LONGEST : pause.multipliedBy(2);
                network.sim.after(pause, () -> put(stub, text, base, valid, sent, next));
                return;
            }
            open--;
            seen.configurationStub.add(
                    new ObservationLog.Paper(stub, text, base, valid, sent, status, network.sim.now()));
            if (status == 200 && valid && stub.configRevision() > now.configRevision()) {
                now = stub;
            }
        });
    }

    void begin() {
        put(now, 0);
    }

    private long next() {
        return now.configRevision() + 1 + network.sim.random().nextInt(4);
    }

    private ConfigurationStub more(String name) {
        List<ConfigurationStub.Route> all = new ArrayList<>(now.routes());
        ConfigurationStub.Route like = all.get(network.sim.random().nextInt(3));
        all.add(new ConfigurationStub.Route(
                name,
                like.host(),
                "/" + name + "/",
                like.service(),
                like.timeoutMs(),
                like.maxAttempts(),
                like.inOrder(),
                like.retentionS(),
                false));
        return now.routes(all).with(next());
    }

    private Optional<ConfigurationStub.Route> added() {
        return now.routes().stream()
                .filter(route -> route.name().startsWith("new"))
                .findFirst();
    }

    /** A route comes, or one that came goes; now and then a time-out changes. */
    void change() {
        Optional<ConfigurationStub.Route> old = added();
        if (old.isPresent() && network.sim.chance(0.5)) {
            put(
                    now.routes(now.routes().stream()
                                    .filter(route -> !route.equals(old.get()))
                                    .toList())
                            .with(next()),
                    now.configRevision());
        } else {
            put(more("new" + n++), now.configRevision());
        }
    }

    void race() {
        ConfigurationStub configurationStub = more("new" + n++);
        ConfigurationStub stub = more("new" + n++);
        put(configurationStub, now.configRevision());
        put(stub, now.configRevision());
    }

    /** One of each kind in turn; none may ever be in force. */
    void bad() {
        ConfigurationStub stub = more("bad" + n);
        ConfigurationStub.Route route = stub.routes().get(stub.routes().size() - 1);
        List<ConfigurationStub.Route> others = new ArrayList<>(now.routes());
        switch (n++ % 6) {
            case 0 -> put(stub, stub.text().substring(0, stub.text().length() / 2), now.configRevision(), false);
            case 1 ->
                bad(
                        stub,
                        others,
                        new ConfigurationStub.Route(
                                route.name(), route.host(), route.pathPrefix(), "nobody", 500, 3, false, 90, false));
            case 2 ->
                bad(
                        stub,
                        others,
                        new ConfigurationStub.Route(
                                route.name(),
                                route.host(),
                                others.get(0).pathPrefix(),
                                route.service(),
                                500,
                                3,
                                false,
                                90,
                                false));
            case 3 ->
                bad(
                        stub,
                        others,
                        new ConfigurationStub.Route(
                                route.name(),
                                route.host(),
                                route.pathPrefix(),
                                route.service(),
                                0,
                                3,
                                false,
                                90,
                                false));
            case 4 ->
                put(
                        stub.with(now.configRevision()),
                        stub.with(now.configRevision()).text(),
                        now.configRevision(),
                        false);
            default -> {
                List<ConfigurationStub.Tenant> t = new ArrayList<>(now.tenants());
                t.add(new ConfigurationStub.Tenant(
                        "thief", List.of(t.get(0).accessKeys().get(0)), 1, 1));
                put(stub.tenants(t), stub.tenants(t).text(), now.configRevision(), false);
            }
        }
    }

    private void bad(ConfigurationStub stub, List<ConfigurationStub.Route> others, ConfigurationStub.Route worst) {
        others.add(worst);
        put(stub.routes(others), stub.routes(others).text(), now.configRevision(), false);
    }

    /** A tenant's second key goes, or a new one comes. */
    void keys() {
        List<ConfigurationStub.Tenant> all = new ArrayList<>(now.tenants());
        int i = network.sim.random().nextInt(all.size());
        ConfigurationStub.Tenant tenant = all.get(i);
        List<String> keys = new ArrayList<>(tenant.accessKeys());
        if (keys.size() > 1) {
            keys.remove(keys.size() - 1);
        } else {
            keys.add("key-" + i + "-" + n++);
        }
        all.set(i, new ConfigurationStub.Tenant(tenant.name(), keys, tenant.ratePerS(), tenant.burstSize()));
        put(now.tenants(all).with(next()), now.configRevision());
    }

    /** An order of before, acknowledged or refused, is sent once more as it was; the answer is for the history only. */
    void repeat() {
        if (seen.orderCalls.isEmpty()) {
            return;
        }
        ObservationLog.OrderCall before =
                seen.orderCalls.get(network.sim.random().nextInt(seen.orderCalls.size()));
        Request request = new Request(
                "PUT",
                "/-/configuration",
                Map.of("if-match", Long.toString(before.base())),
                before.text().getBytes(StandardCharsets.UTF_8));
        Duration sent = network.sim.now();
        network.request(
                anyControlNode(),
                request,
                CALL,
                response -> seen.orderCalls.add(new ObservationLog.OrderCall(
                        before.text(),
                        before.base(),
                        before.revision(),
                        sent,
                        network.sim.now(),
                        response.map(Response::status).orElse(0))));
    }

    private String anyControlNode() {
        return network.controlNodes.get(network.sim.random().nextInt(network.controlNodes.size()));
    }

    /** Asks for the configuration as it stands; the last reading of a day counts. */
    void read() {
        String to = anyControlNode();
        Duration asked = network.sim.now();
        network.request(to, new Request("GET", "/-/configuration", Map.of(), new byte[0]), CALL, response -> {
            if (response.isPresent() && response.get().status() == 200) {
                String text = new String(response.get().body(), StandardCharsets.UTF_8);
                seen.readBack.add(new ObservationLog.ReadBack(200, text, network.sim.now()));
                seen.configurationReads.add(new ObservationLog.ConfigurationRead(text, asked, network.sim.now()));
            }
        });
    }
}

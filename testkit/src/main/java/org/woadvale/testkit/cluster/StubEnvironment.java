package org.woadvale.testkit.cluster;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.HttpGateway;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.runtime.SystemClock;
import org.woadvale.common.runtime.SystemTimers;
import org.woadvale.testkit.stub.Backend;
import org.woadvale.testkit.stub.Edit;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** Stubs of the services around a test fleet: backends, platform and operator. */
public final class StubEnvironment implements AutoCloseable {
    public final Observations observations = new Observations();
    public final Clock times = new SystemClock();
    public final Client client = new Client();
    public final TestConfiguration testConfiguration;
    public final Shape shape;
    public final Map<String, Backend> backends = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final SystemTimers timers = new SystemTimers(4);
    private final List<HttpGateway> gateways = new ArrayList<>();
    private final Fleet fleet;
    private long currentVersion;

    public StubEnvironment(Fleet fleet, Shape shape, TestConfiguration testConfiguration)
            throws IOException, ServiceException {
        this.fleet = fleet;
        this.testConfiguration = testConfiguration;
        this.shape = shape;
        testConfiguration.allow(observations);
        for (int i = 0; i < shape.processors; i++) {
            startBackend("p" + i, i % 2 == 0 ? TestConfiguration.GROUP : TestConfiguration.ORDERED_GROUP, false);
        }
        for (int i = 0; i < shape.endpoints; i++) {
            startBackend(TestConfiguration.endpoint(i), TestConfiguration.endpoint(i), true);
        }
    }

    private void startBackend(String id, String service, boolean paced) throws IOException, ServiceException {
        Backend backend = new Backend(id, service, paced, observations, times, timers, new SecureRandom()::nextLong);
        String address = Fleet.free();
        HttpGateway httpGateway = new HttpGateway(address, 64 << 10, backend::answer);
        httpGateway.start();
        gateways.add(httpGateway);
        backends.put(id, backend);
        addresses.put(id, address);
    }

    /** Sends a request to one control node after another until one gives a definite answer. */
    public Client.HttpAnswer operate(String method, String path, byte[] body, Map<String, String> headers) {
        for (int i = 0; i < 60; i++) {
            NodeProcess process = fleet.controlNodes.get(i % fleet.controlNodes.size());
            try {
                Client.HttpAnswer answer = client.send(method, process.http, path, "", body, headers)
                        .join();
                if (answer.status() < 500) {
                    return answer;
                }
            } catch (CompletionException e) {
                // tries the next control node
            }
            sleep(200);
        }
        throw new IllegalStateException("no control node answered " + method + " " + path);
    }

    public long putConfiguration(Configuration configuration, long base, String requestId) {
        byte[] json = Configurations.write(configuration);
        if (!System.getProperty("older", "").isEmpty()) {
            // the older build does not support this field
            json = new String(json, StandardCharsets.UTF_8)
                    .replace(",\"ifUnclear\":\"FAIL\"", "")
                    .getBytes(StandardCharsets.UTF_8);
        }
        Client.HttpAnswer answer =
                operate("PUT", "/v1/layout", json, Map.of("If-Match", Long.toString(base), "X-Request-Id", requestId));
        boolean accepted = answer.status() == 200;
        long version = accepted ? answer.json().path("version").asLong() : -1;
        observations.append(
                observations.configurations,
                new Observations.ConfigurationAnswer(
                        requestId,
                        version,
                        accepted,
                        true,
                        times.monotonicTime(),
                        Configurations.sha256(new String(json, StandardCharsets.UTF_8))));
        if (!accepted) {
            throw new IllegalStateException(
                    "configuration refused: " + new String(answer.body(), StandardCharsets.UTF_8));
        }
        currentVersion = version;
        return version;
    }

    /** Adds or removes a key of tenant 0, based on the current configuration version. */
    public void putKey(String secret, boolean present) {
        Configuration configuration = Edit.keys(configuration(), keys -> {
            if (present) {
                keys.put(
                        secret,
                        new Configuration.Key(
                                Configuration.Role.CALLER,
                                TestConfiguration.tenant(0),
                                "",
                                Configurations.sha256(secret)));
            }
        });
        putConfiguration(configuration, currentVersion, "key-" + present);
        if (!present) {
            observations.append(observations.keys, new Observations.KeyWithdrawn(secret, times.monotonicTime()));
        }
    }

    public Configuration configuration() {
        return testConfiguration.configuration(i -> "http://" + addresses.get(TestConfiguration.endpoint(i)));
    }

    public void listProcessors() {
        backends.keySet().stream().filter(id -> id.startsWith("p")).forEach(id -> list(id, false));
    }

    public void list(String id, boolean leaving) {
        int number = Integer.parseInt(id.substring(1));
        String service = number % 2 == 0 ? TestConfiguration.GROUP : TestConfiguration.ORDERED_GROUP;
        Client.HttpAnswer answer = operate(
                "PUT",
                "/v1/services/" + service + "/processors/" + id,
                Configurations.write(Map.of("address", "http://" + addresses.get(id), "leaving", leaving)),
                Map.of());
        if (answer.status() != 200) {
            throw new IllegalStateException("registration of a processor was refused: " + answer.status());
        }
        if (leaving) {
            observations.append(observations.leaving, new Observations.MarkedLeaving(id, times.monotonicTime()));
        }
    }

    /** Converts a timestamp to monotonic time; all processes run on this machine and share its wall clock. */
    Duration trueTime(Instant stamp) {
        return times.monotonicTime().minus(Duration.between(stamp, times.wallTime()));
    }

    public boolean ready(NodeProcess process) {
        try {
            return client.send("GET", process.http, "/v1/readiness", "", new byte[0], Map.of())
                            .join()
                            .status()
                    == 200;
        } catch (CompletionException e) {
            return false;
        }
    }

    public Duration await(String what, Duration limit, BooleanSupplier until) {
        Duration start = times.monotonicTime();
        while (!until.getAsBoolean()) {
            if (times.monotonicTime().minus(start).compareTo(limit) > 0) {
                throw new IllegalStateException("timed out waiting for " + what);
            }
            sleep(50);
        }
        return times.monotonicTime().minus(start);
    }

    static void sleep(long ms) {
        LockSupport.parkNanos(ms * 1_000_000L);
    }

    @Override
    public void close() {
        gateways.forEach(HttpGateway::stop);
        timers.close();
    }
}

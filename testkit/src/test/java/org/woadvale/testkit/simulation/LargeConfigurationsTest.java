package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.testkit.stub.ConfigurationStub;

/**
 * Configurations that use a large share of the maximum size of a stored record. Guards against control processes that
 * stop because the state and the updates after it are larger than a ring file (review/4).
 */
class LargeConfigurationsTest {
    private static final int KEYS = 9_900;
    private static final int CONCURRENT_CHANGES = 8;
    private static final int ROUNDS = 4;
    private static final int MANY_ROUTES = 1_500;
    private static final int SMALL_RING_FILE = 1 << 20;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration ROUND_TIMEOUT = Duration.ofSeconds(20);

    /** One operator's change, sent until the response is definite. */
    private static final class Change {
        private final SimulatedPlatformFleet fleet;
        private final ConfigurationStub configuration;
        private final long base;
        private int sent;
        private int status;

        Change(SimulatedPlatformFleet fleet, ConfigurationStub configuration, long base) {
            this.fleet = fleet;
            this.configuration = configuration;
            this.base = base;
        }

        void send(int firstNode) {
            String node = fleet.controlNodes.get((firstNode + sent) % fleet.controlNodes.size());
            sent++;
            Request request = new Request(
                    "PUT",
                    "/-/configuration",
                    Map.of("if-match", Long.toString(base)),
                    configuration.text().getBytes(StandardCharsets.UTF_8));
            fleet.request(node, request, REQUEST_TIMEOUT, answer -> {
                int responseStatus = answer.map(response -> response.status()).orElse(0);
                if (responseStatus == 0 || responseStatus >= 500) {
                    fleet.sim.after(RETRY_DELAY, () -> send(firstNode));
                } else {
                    status = responseStatus;
                }
            });
        }

        boolean isDecided() {
            return status != 0;
        }
    }

    private static ConfigurationStub withKeys(long revision, int keys) {
        ConfigurationStub plain = PlatformFixture.defaultConfiguration();
        List<String> many = IntStream.range(0, keys)
                .mapToObj(number -> String.format("k%08d-%09d", revision, number))
                .toList();
        List<ConfigurationStub.Tenant> tenants = new ArrayList<>(plain.tenants());
        tenants.add(new ConfigurationStub.Tenant("tenant-many", many, 100, 100));
        return new ConfigurationStub(revision, plain.routes(), plain.services(), tenants);
    }

    private static void assertAllControlNodesAlive(SimulatedPlatformFleet fleet) {
        assertEquals(
                List.of(),
                fleet.controlNodes.stream()
                        .filter(node -> !fleet.host(node).alive())
                        .toList(),
                "stopped by itself");
    }

    /**
     * Sends {@link #CONCURRENT_CHANGES} changes of one base concurrently and returns the revision of the accepted one.
     */
    private static long runRound(SimulatedPlatformFleet fleet, long base) {
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_CHANGES; i++) {
            changes.add(new Change(fleet, withKeys(base + 1 + i, KEYS), base));
            changes.get(i).send(i);
        }
        boolean decided = fleet.sim.runUntil(() -> changes.stream().allMatch(Change::isDecided), ROUND_TIMEOUT);
        assertAllControlNodesAlive(fleet);
        assertTrue(decided, "a change has no definite response after " + ROUND_TIMEOUT);
        List<Change> accepted =
                changes.stream().filter(change -> change.status == 200).toList();
        assertEquals(1, accepted.size(), "changes accepted on base " + base);
        return accepted.get(0).configuration.configRevision();
    }

    @Test
    void concurrentLargeChangesStopNoProcess() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(21, 1);
        long version = PlatformFixture.defaultConfiguration().configRevision();
        for (int i = 0; i < ROUNDS; i++) {
            version = runRound(fixture.fleet, version);
        }
        for (String node : fixture.fleet.controlNodes) {
            fixture.fleet.kill(node);
            fixture.fleet.restart(node);
        }
        fixture.fleet.sim.run(Duration.ofSeconds(5));
        runRound(fixture.fleet, version);
    }

    @Test
    void moreThanAThousandRoutesAreAccepted() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(22, 1);
        ConfigurationStub plain = PlatformFixture.defaultConfiguration();
        List<ConfigurationStub.Route> routes = new ArrayList<>(plain.routes());
        IntStream.range(0, MANY_ROUTES)
                .forEach(number ->
                        routes.add(PlatformFixture.route("r-" + number, "/many/" + number + "/", "book", false)));
        ConfigurationStub many =
                new ConfigurationStub(plain.configRevision() + 1, routes, plain.services(), plain.tenants());
        assertEquals(200, fixture.put(many, plain.configRevision(), 0).status());
    }

    /**
     * Such a change is rejected with a definite response when it is proposed, and a smaller one is accepted afterwards.
     */
    @Test
    void changeTooLargeToStoreIsRejectedAndStopsNoProcess() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(23, 1, SMALL_RING_FILE);
        long version = PlatformFixture.defaultConfiguration().configRevision();
        assertEquals(400, fixture.put(withKeys(version + 1, KEYS), version, 0).status());
        fixture.fleet.sim.run(Duration.ofSeconds(2));
        assertAllControlNodesAlive(fixture.fleet);
        assertEquals(200, fixture.put(withKeys(version + 1, 500), version, 0).status());
    }
}

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
 * Configurations that take a good part of what one stored record can have. Guards against control processes that end
 * because the state with the updates after it is larger than a ring file (review/4).
 */
class LargeConfigurationsTest {
    private static final int KEYS = 9_900;
    private static final int ORDERS_AT_ONCE = 8;
    private static final int ROUNDS = 4;
    private static final int MANY_ROUTES = 1_500;
    private static final int SMALL_RING_FILE = 1 << 20;
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final Duration PAUSE = Duration.ofMillis(100);
    private static final Duration ROUND = Duration.ofSeconds(20);

    /** One operator's order, sent until the answer is definite. */
    private static final class Order {
        private final SimulatedPlatformFleet fleet;
        private final ConfigurationStub configuration;
        private final long base;
        private int sent;
        private int status;

        Order(SimulatedPlatformFleet fleet, ConfigurationStub configuration, long base) {
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
            fleet.request(node, request, PATIENCE, answer -> {
                int answered = answer.map(response -> response.status()).orElse(0);
                if (answered == 0 || answered >= 500) {
                    fleet.sim.after(PAUSE, () -> send(firstNode));
                } else {
                    status = answered;
                }
            });
        }

        boolean isDecided() {
            return status != 0;
        }
    }

    private static ConfigurationStub withKeys(long revision, int keys) {
        ConfigurationStub plain = PlatformFixture.plain();
        List<String> many = IntStream.range(0, keys)
                .mapToObj(number -> String.format("k%08d-%09d", revision, number))
                .toList();
        List<ConfigurationStub.Tenant> tenants = new ArrayList<>(plain.tenants());
        tenants.add(new ConfigurationStub.Tenant("tenant-many", many, 100, 100));
        return new ConfigurationStub(revision, plain.routes(), plain.services(), tenants);
    }

    private static void nobodyEnded(SimulatedPlatformFleet fleet) {
        assertEquals(
                List.of(),
                fleet.controlNodes.stream()
                        .filter(node -> !fleet.host(node).alive())
                        .toList(),
                "ended by itself");
    }

    /** Sends so many orders on one base at the same time; the revision of the one that is taken. */
    private static long round(SimulatedPlatformFleet fleet, long base) {
        List<Order> orders = new ArrayList<>();
        for (int i = 0; i < ORDERS_AT_ONCE; i++) {
            orders.add(new Order(fleet, withKeys(base + 1 + i, KEYS), base));
            orders.get(i).send(i);
        }
        boolean decided = fleet.sim.runUntil(() -> orders.stream().allMatch(Order::isDecided), ROUND);
        nobodyEnded(fleet);
        assertTrue(decided, "an order has no definite answer after " + ROUND);
        List<Order> taken = orders.stream().filter(order -> order.status == 200).toList();
        assertEquals(1, taken.size(), "orders taken on base " + base);
        return taken.get(0).configuration.configRevision();
    }

    @Test
    void eightLargeOrdersAtOnceEndNoProcess() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(21, 1);
        long version = PlatformFixture.plain().configRevision();
        for (int i = 0; i < ROUNDS; i++) {
            version = round(fixture.r, version);
        }
        for (String node : fixture.r.controlNodes) {
            fixture.r.kill(node);
            fixture.r.restart(node);
        }
        fixture.r.sim.run(Duration.ofSeconds(5));
        round(fixture.r, version);
    }

    @Test
    void moreThanAThousandRoutesAreTaken() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(22, 1);
        ConfigurationStub plain = PlatformFixture.plain();
        List<ConfigurationStub.Route> routes = new ArrayList<>(plain.routes());
        IntStream.range(0, MANY_ROUTES)
                .forEach(number ->
                        routes.add(PlatformFixture.route("r-" + number, "/many/" + number + "/", "book", false)));
        ConfigurationStub many =
                new ConfigurationStub(plain.configRevision() + 1, routes, plain.services(), plain.tenants());
        assertEquals(200, fixture.put(many, plain.configRevision(), 0).status());
    }

    /** Refused where it is proposed, with a definite answer, and what can be stored is taken after it. */
    @Test
    void whatCannotBeStoredIsRefusedAndEndsNoProcess() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(23, 1, SMALL_RING_FILE);
        long version = PlatformFixture.plain().configRevision();
        assertEquals(400, fixture.put(withKeys(version + 1, KEYS), version, 0).status());
        fixture.r.sim.run(Duration.ofSeconds(2));
        nobodyEnded(fixture.r);
        assertEquals(200, fixture.put(withKeys(version + 1, 500), version, 0).status());
    }
}

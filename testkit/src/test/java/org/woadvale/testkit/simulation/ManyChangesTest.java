package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.ConfigurationStub;

/**
 * Many and large configuration changes are acknowledged in time, replicated to every member, and bounded in bytes
 * (docs/design.md, section 6.11).
 */
class ManyChangesTest {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration DECISION_TIMEOUT = Duration.ofSeconds(20);
    private static final int CHANGES = 600;
    private static final int MEMBERS = 3;
    private static final int CHANGES_PER_MEMBER = 60;
    private static final int FAULT_STEP = 10;
    private static final int RESTART_STEP = 40;
    private static final int LARGE_ROUTES = 700;
    private static final Duration MAX_LATENCY = Duration.ofMillis(100);
    private static final Duration MAX_LATENCY_LEADER_LOST = Duration.ofMillis(2500);
    private static final int MAX_SNAPSHOT_BYTES = 3 << 20;

    private PlatformFixture fixture;
    private long version;
    private final Map<String, Long> bytesByType = new TreeMap<>();

    @BeforeEach
    void setUp() throws ServiceException {
        fixture = new PlatformFixture(51, 2);
        version = fixture.configurationStub.configRevision();
        fixture.fleet.net.onFrame((from, to, frame, bytes) -> {
            if (!from.equals(to)) {
                bytesByType.merge(frame.body().getClass().getSimpleName(), (long) bytes, Long::sum);
            }
        });
    }

    private String text(long revision, int routeCount) {
        List<ConfigurationStub.Route> routes = new ArrayList<>(fixture.configurationStub.routes());
        for (int i = 0; i < routeCount; i++) {
            String name = "r-" + Long.toHexString((i + 1) * 0x9E3779B97F4A7C15L);
            routes.add(PlatformFixture.route(name, "/" + name + "/" + i + "/", "desk", false));
        }
        return fixture.configurationStub.routes(routes).with(revision).text();
    }

    /**
     * Sends the next change until it is accepted and returns the time until its acknowledgement; fails on a rejection.
     */
    private Duration change(int routeCount, int node) {
        Request request = new Request(
                "PUT",
                "/-/configuration",
                Map.of("if-match", Long.toString(version)),
                text(version + 1, routeCount).getBytes(StandardCharsets.UTF_8));
        Duration sent = fixture.fleet.sim.now();
        AtomicReference<Duration> acknowledged = new AtomicReference<>();
        send(request, node, acknowledged);
        assertTrue(
                fixture.fleet.sim.runUntil(() -> acknowledged.get() != null, DECISION_TIMEOUT), "no definite response");
        version++;
        return acknowledged.get().minus(sent);
    }

    /**
     * Like the platform's operator, goes on to another node after a second without a response or after an unclear one.
     */
    private void send(Request request, int node, AtomicReference<Duration> acknowledged) {
        fixture.fleet.request(fixture.fleet.controlNodes.get(node % 3), request, REQUEST_TIMEOUT, response -> {
            int status = response.map(Response::status).orElse(0);
            assertTrue(status < 400 || status >= 500, "rejected with " + status);
            if (status == 200) {
                acknowledged.compareAndSet(null, fixture.fleet.sim.now());
            } else {
                fixture.fleet.sim.after(RETRY_DELAY, () -> send(request, node + 1, acknowledged));
            }
        });
    }

    private String leader() {
        return fixture.fleet.controlNodes.stream()
                .filter(node -> fixture.fleet.host(node).alive()
                        && fixture.fleet.controlNode(node).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
    }

    private int snapshotBytes(String node) {
        return fixture.fleet
                .controlNode(node)
                .replica("c0")
                .inspect(i -> fixture.fleet.controlNode(node).stateMachine("c0").snapshot().length);
    }

    private void restartAfter(String node, long ms) throws ServiceException {
        fixture.run(ms);
        fixture.fleet.restart(node);
    }

    @Test
    void largeChangeIsAcknowledgedInTimeAndAfterTheLossOfTheLeader() throws ServiceException {
        List<Duration> normalTimes = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            normalTimes.add(change(LARGE_ROUTES, i % 3));
            fixture.run(200);
        }
        normalTimes.sort(Duration::compareTo);
        List<Duration> leaderLostTimes = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            String leader = leader();
            fixture.fleet.kill(leader);
            leaderLostTimes.add(change(LARGE_ROUTES, (fixture.fleet.controlNodes.indexOf(leader) + 1) % 3));
            restartAfter(leader, 500);
            fixture.run(3000);
        }
        leaderLostTimes.sort(Duration::compareTo);
        System.out.println("large changes, " + text(version, LARGE_ROUTES).length() + " bytes: without faults p50 "
                + normalTimes.get(20) + ", worst of 40 " + normalTimes.get(39) + "; leader lost, worst of 10 "
                + leaderLostTimes.get(9));
        assertTrue(normalTimes.get(39).compareTo(MAX_LATENCY) < 0, "without faults " + normalTimes.get(39));
        assertTrue(
                leaderLostTimes.get(9).compareTo(MAX_LATENCY_LEADER_LOST) < 0, "leader lost " + leaderLostTimes.get(9));
    }

    /**
     * Each core member is restarted, wiped and paused in turn meanwhile; in the end all members have applied every
     * change, and the size of their snapshots is bounded.
     */
    @Test
    void manyChangesWithFaultsOfEveryMember() throws ServiceException {
        int changes = Integer.getInteger("manyChanges.count", CHANGES);
        int routeCount = Integer.getInteger("manyChanges.routes", 4);
        String first = text(version + 1, routeCount);
        long base = version;
        for (int i = 0; i < changes; i++) {
            int member = i / CHANGES_PER_MEMBER % MEMBERS;
            injectFault(i, fixture.fleet.controlNodes.get(member));
            change(routeCount, member + 1);
        }
        fixture.run(6000);
        for (int node = 0; node < MEMBERS; node++) {
            assertEquals(200, fixture.put(first, base, node).status(), "the first change, at " + node);
            assertHasAppliedEverything(fixture.fleet.controlNodes.get(node), routeCount);
        }
        System.out.println(changes + " changes of " + first.length() + " bytes: snapshot of c0 "
                + snapshotBytes(leader()) + " bytes; bytes sent by type " + bytesByType);
    }

    /** Each member in turn is killed, then killed with the loss of its disk, then paused. */
    private void injectFault(int change, String node) throws ServiceException {
        int fault = change / (CHANGES_PER_MEMBER * MEMBERS);
        int step = change % CHANGES_PER_MEMBER;
        if (step == FAULT_STEP && fault < 2) {
            fixture.fleet.kill(node);
            if (fault == 1) {
                fixture.fleet.host(node).disk.wipe();
            }
        } else if (step == FAULT_STEP) {
            fixture.fleet.host(node).pause(Duration.ofSeconds(4));
        } else if (step == RESTART_STEP && fault < 2) {
            fixture.fleet.restart(node);
            fixture.run(4000);
        }
    }

    private void assertHasAppliedEverything(String node, int routeCount) {
        String read = fixture.fleet
                .requestAndWait(node, new Request("GET", "/-/configuration", Map.of(), new byte[0]), READ_TIMEOUT)
                .map(response -> new String(response.body(), StandardCharsets.UTF_8))
                .orElseThrow();
        assertEquals(text(version, routeCount), read);
        long applied = fixture.fleet
                .controlNode(node)
                .replica("c0")
                .inspect(i -> fixture.fleet
                        .controlNode(node)
                        .stateMachine("c0")
                        .configurations()
                        .version());
        assertEquals(version, applied, node + " has applied everything");
        assertTrue(snapshotBytes(node) < MAX_SNAPSHOT_BYTES, "snapshot of " + snapshotBytes(node));
    }
}

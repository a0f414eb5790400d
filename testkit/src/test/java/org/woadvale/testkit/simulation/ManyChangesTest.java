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
 * Hundreds of changes, and large ones: acknowledged in time, caught up with, and bounded in bytes. (docs/design.md,
 * section 6.11)
 */
class ManyChangesTest {
    private static final Duration CALL = Duration.ofSeconds(4);
    private static final Duration SILENCE = Duration.ofSeconds(1);
    private static final Duration PAUSE = Duration.ofMillis(100);
    private static final Duration CLEAR_ANSWER = Duration.ofSeconds(20);
    private static final int CHANGES = 600;
    private static final int LARGE_ROUTES = 700;
    private static final Duration CALM_P99 = Duration.ofMillis(100);
    private static final Duration LEADER_LOST = Duration.ofMillis(2500);
    private static final int SNAPSHOT_BYTES = 3 << 20;

    private PlatformFixture fixture;
    private long version;
    private final Map<String, Long> bytesByType = new TreeMap<>();

    @BeforeEach
    void begin() throws ServiceException {
        fixture = new PlatformFixture(51, 2);
        version = fixture.configurationStub.configRevision();
        fixture.r.net.onFrame((from, to, frame, bytes) -> {
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

    /** Sends the next change until it is taken and says how long its acknowledgement took; refusals fail. */
    private Duration change(int routeCount, int node) {
        Request order = new Request(
                "PUT",
                "/-/configuration",
                Map.of("if-match", Long.toString(version)),
                text(version + 1, routeCount).getBytes(StandardCharsets.UTF_8));
        Duration sent = fixture.r.sim.now();
        AtomicReference<Duration> acknowledged = new AtomicReference<>();
        send(order, node, acknowledged);
        assertTrue(fixture.r.sim.runUntil(() -> acknowledged.get() != null, CLEAR_ANSWER), "no clear answer");
        version++;
        return acknowledged.get().minus(sent);
    }

    /** As the platform's operator does it: on to another node after a second of silence or an unclear answer. */
    private void send(Request order, int node, AtomicReference<Duration> acknowledged) {
        fixture.r.request(fixture.r.controlNodes.get(node % 3), order, SILENCE, answer -> {
            int status = answer.map(Response::status).orElse(0);
            assertTrue(status < 400 || status >= 500, "refused with " + status);
            if (status == 200) {
                acknowledged.compareAndSet(null, fixture.r.sim.now());
            } else {
                fixture.r.sim.after(PAUSE, () -> send(order, node + 1, acknowledged));
            }
        });
    }

    private String leader() {
        return fixture.r.controlNodes.stream()
                .filter(l -> fixture.r.host(l).alive()
                        && fixture.r.controlNode(l).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
    }

    private int snapshotBytes(String node) {
        return fixture.r
                .controlNode(node)
                .replica("c0")
                .inspect(i -> fixture.r.controlNode(node).stateMachine("c0").snapshot().length);
    }

    private void restartAfter(String node, long ms) throws ServiceException {
        fixture.run(ms);
        fixture.r.restart(node);
    }

    @Test
    void largeOrderIsAcknowledgedInTimeAndAfterTheLossOfTheLeader() throws ServiceException {
        List<Duration> calm = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            calm.add(change(LARGE_ROUTES, i % 3));
            fixture.run(200);
        }
        calm.sort(Duration::compareTo);
        List<Duration> lost = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            String leader = leader();
            fixture.r.kill(leader);
            lost.add(change(LARGE_ROUTES, (fixture.r.controlNodes.indexOf(leader) + 1) % 3));
            restartAfter(leader, 500);
            fixture.run(3000);
        }
        lost.sort(Duration::compareTo);
        System.out.println("large orders, " + text(version, LARGE_ROUTES).length() + " bytes: calm p50 " + calm.get(20)
                + ", worst of 40 " + calm.get(39) + "; leader lost, worst of 10 " + lost.get(9));
        assertTrue(calm.get(39).compareTo(CALM_P99) < 0, "in calm " + calm.get(39));
        assertTrue(lost.get(9).compareTo(LEADER_LOST) < 0, "leader lost " + lost.get(9));
    }

    /**
     * Each core member is restarted, wiped and frozen in turn meanwhile; all have everything, and no more than they
     * need.
     */
    @Test
    void sixHundredChangesWithEveryMemberInTrouble() throws ServiceException {
        int changes = Integer.getInteger("manyChanges.count", CHANGES);
        int routeCount = Integer.getInteger("manyChanges.routes", 4);
        String first = text(version + 1, routeCount);
        long base = version;
        for (int i = 0; i < changes; i++) {
            int member = i / 60 % 3;
            String node = fixture.r.controlNodes.get(member);
            int trouble = i / 180;
            if (i % 60 == 10 && trouble < 2) {
                fixture.r.kill(node);
                if (trouble == 1) {
                    fixture.r.host(node).disk.wipe();
                }
            } else if (i % 60 == 10) {
                fixture.r.host(node).pause(Duration.ofSeconds(4));
            } else if (i % 60 == 40 && trouble < 2) {
                fixture.r.restart(node);
                fixture.run(4000);
            }
            change(routeCount, member + 1);
        }
        fixture.run(6000);
        for (int node = 0; node < 3; node++) {
            assertEquals(200, fixture.put(first, base, node).status(), "the first order, at " + node);
            String read = fixture.r
                    .ask(
                            fixture.r.controlNodes.get(node),
                            new Request("GET", "/-/configuration", Map.of(), new byte[0]),
                            CALL)
                    .map(response -> new String(response.body(), StandardCharsets.UTF_8))
                    .orElseThrow();
            assertEquals(text(version, routeCount), read);
            String name = fixture.r.controlNodes.get(node);
            long applied = fixture.r
                    .controlNode(name)
                    .replica("c0")
                    .inspect(i -> fixture.r
                            .controlNode(name)
                            .stateMachine("c0")
                            .configurations()
                            .version());
            assertEquals(version, applied, name + " has applied everything");
            assertTrue(snapshotBytes(name) < SNAPSHOT_BYTES, "snapshot of " + snapshotBytes(name));
        }
        System.out.println(changes + " changes of " + first.length() + " bytes: snapshot of c0 "
                + snapshotBytes(leader()) + " bytes; bytes sent by type " + bytesByType);
    }
}

package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.ConfigurationStub;

/** The repeat of an accepted configuration change is never rejected, and a rejected change never takes effect. */
class RepeatedUpdatesTest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);
    private static final int LATER_CHANGES = 300;
    private static final int CONCURRENT_CHANGES = 8;

    private PlatformFixture fixture;
    private long version;

    @BeforeEach
    void setUp() throws ServiceException {
        fixture = new PlatformFixture(31, 1);
        version = fixture.configurationStub.configRevision();
    }

    private static Request request(String text, long base) {
        return new Request(
                "PUT",
                "/-/configuration",
                Map.of("if-match", Long.toString(base)),
                text.getBytes(StandardCharsets.UTF_8));
    }

    private String text(long revision, String route) {
        List<ConfigurationStub.Route> routes = new ArrayList<>(fixture.configurationStub.routes());
        routes.add(PlatformFixture.route(route, "/" + route + "/", "desk", false));
        return fixture.configurationStub.routes(routes).with(revision).text();
    }

    private void change(int count) {
        for (int i = 0; i < count; i++) {
            assertEquals(
                    200,
                    fixture.put(text(version + 2, "r-" + i), version, i % 3).status());
            version += 2;
        }
    }

    private void assertStatusAtEveryNode(int expected, String text, long base) {
        for (int node = 0; node < 3; node++) {
            assertEquals(expected, fixture.put(text, base, node).status(), "at control node " + node);
        }
    }

    private String leader() {
        return fixture.fleet.controlNodes.stream()
                .filter(node -> fixture.fleet.host(node).alive()
                        && fixture.fleet.controlNode(node).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
    }

    private String readBack(int node) {
        return fixture.fleet
                .requestAndWait(
                        fixture.fleet.controlNodes.get(node),
                        new Request("GET", "/-/configuration", Map.of(), new byte[0]),
                        REQUEST_TIMEOUT)
                .map(response -> new String(response.body(), StandardCharsets.UTF_8))
                .orElseThrow();
    }

    /**
     * Repeats an accepted change after many others, after the loss of the leader, at wiped members and after a restart
     * of the whole core.
     */
    @Test
    void acceptedChangeIsAcceptedAgainAfterManyChangesAndRestarts() throws ServiceException {
        String first = text(version + 2, "r-first");
        long base = version;
        assertEquals(200, fixture.put(first, base, 0).status());
        version += 2;
        change(LATER_CHANGES);
        assertStatusAtEveryNode(200, first, base);
        for (String node : fixture.fleet.controlNodes) {
            fixture.fleet.kill(node);
            fixture.fleet.host(node).disk.wipe();
            fixture.run(2500);
            assertEquals(200, fixture.put(first, base, 0).status(), "while " + node + " is away");
            fixture.fleet.restart(node);
            fixture.run(6000);
            assertStatusAtEveryNode(200, first, base);
        }
        fixture.fleet.controlNodes.forEach(fixture.fleet::kill);
        fixture.run(500);
        for (String node : fixture.fleet.controlNodes) {
            fixture.fleet.restart(node);
        }
        fixture.run(4000);
        assertStatusAtEveryNode(200, first, base);
        change(1);
    }

    /** The leader is killed after it appended the first copy; copies sent to the two others get the same response. */
    @Test
    void concurrentCopiesDuringLeaderLossGetOneAnswer() throws ServiceException {
        for (int round = 0; round < 12; round++) {
            String text = text(version + 2, "r-round" + round);
            String leader = leader();
            List<Integer> statuses = new ArrayList<>();
            for (String node : fixture.fleet.controlNodes) {
                fixture.fleet.request(
                        node,
                        request(text, version),
                        REQUEST_TIMEOUT,
                        response -> statuses.add(response.map(Response::status).orElse(0)));
            }
            fixture.run(1 + round);
            fixture.fleet.kill(leader);
            fixture.fleet.sim.runUntil(() -> statuses.size() == 3, Duration.ofSeconds(6));
            assertEquals(
                    List.of(),
                    statuses.stream().filter(s -> s / 100 == 4).toList(),
                    "no copy may be rejected, round " + round);
            fixture.fleet.restart(leader);
            fixture.run(3000);
            assertStatusAtEveryNode(200, text, version);
            version += 2;
        }
    }

    /**
     * Eight operators send changes of one base to all members: one change is accepted by all, seven are rejected by
     * all.
     */
    @Test
    void exactlyOneOfEightConcurrentChangesIsAccepted() {
        List<String> texts = new ArrayList<>();
        Map<String, Set<Integer>> statuses = new TreeMap<>();
        for (int i = 0; i < CONCURRENT_CHANGES; i++) {
            String text = text(version + 2, "r-operator" + i);
            texts.add(text);
            for (String node : fixture.fleet.controlNodes) {
                fixture.fleet.request(
                        node,
                        request(text, version),
                        REQUEST_TIMEOUT,
                        response -> statuses.computeIfAbsent(text, t -> new TreeSet<>())
                                .add(response.map(Response::status).orElse(0)));
            }
        }
        fixture.run(REQUEST_TIMEOUT.toMillis());
        List<String> accepted =
                texts.stream().filter(t -> statuses.get(t).equals(Set.of(200))).toList();
        assertEquals(1, accepted.size(), statuses.values().toString());
        texts.stream().filter(t -> !accepted.contains(t)).forEach(t -> assertEquals(Set.of(412), statuses.get(t)));
        assertEquals(accepted.get(0), readBack(2));
    }

    /**
     * The same text on another base is another change: once rejected it stays rejected, though the text was accepted.
     */
    @Test
    void rejectedChangeStaysRejectedThoughItsTextIsAcceptedOnAnotherBase() {
        String earlyText = text(version + 10, "r-early");
        assertStatusAtEveryNode(412, earlyText, version - 1);
        assertEquals(200, fixture.put(earlyText, version, 0).status());
        assertStatusAtEveryNode(412, earlyText, version - 1);
        assertStatusAtEveryNode(200, earlyText, version);
    }

    /** Repeats a change that was rejected because its base was not reached yet, once the base is reached. */
    @Test
    void changeAheadOfItsBaseNeverTakesEffect() {
        String futureText = text(version + 10, "r-ahead");
        assertStatusAtEveryNode(412, futureText, version + 2);
        change(1);
        assertStatusAtEveryNode(412, futureText, version);
        assertEquals(text(version, "r-0"), readBack(1));
        assertEquals(200, fixture.put(text(version + 10, "r-other"), version, 0).status());
    }

    /** Different bytes are different changes, even if they decode to the same text. */
    @Test
    void undecodableBytesAreRejectedAndChangeNothing() {
        byte[] bytes = text(version + 2, "r-odd").getBytes(StandardCharsets.UTF_8);
        bytes[bytes.length / 2] = (byte) 0xff;
        Optional<Response> answer = fixture.fleet.requestAndWait(
                fixture.fleet.controlNodes.get(0),
                new Request("PUT", "/-/configuration", Map.of("if-match", Long.toString(version)), bytes),
                REQUEST_TIMEOUT);
        assertEquals(400, answer.orElseThrow().status());
        assertEquals(fixture.configurationStub.text(), readBack(2));
    }

    @Test
    void malformedChangesAreRejectedAndChangeNothing() {
        String valid = text(version + 2, "r-good");
        for (String ifMatch : List.of("", "  ", "*", "W/\"3\"", "-3", "3.0", "3, 4", "0x3", "9".repeat(19))) {
            Request broken = new Request(
                    "PUT", "/-/configuration", Map.of("if-match", ifMatch), valid.getBytes(StandardCharsets.UTF_8));
            assertEquals(
                    400,
                    fixture.fleet
                            .requestAndWait(fixture.fleet.controlNodes.get(0), broken, REQUEST_TIMEOUT)
                            .orElseThrow()
                            .status(),
                    "If-Match: " + ifMatch);
        }
        List<String> unreadable = List.of(
                "",
                valid.substring(0, valid.length() - 1),
                valid + "x",
                valid + valid,
                valid + "{}",
                "null",
                "[]",
                "\"\"");
        for (String text : unreadable) {
            assertStatusAtEveryNode(400, text, version);
        }
        assertEquals(fixture.configurationStub.text(), readBack(0));
        assertEquals(200, fixture.put(valid, version, 1).status());
    }
}

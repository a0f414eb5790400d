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

/** An order that was taken is never refused when it comes again, and one that was refused never comes into force. */
class OrderRepeatTest {
    private static final Duration CALL = Duration.ofSeconds(4);
    private static final int LATER_CHANGES = 300;
    private static final int ORDERS_AT_ONCE = 8;

    private PlatformFixture fixture;
    private long version;

    @BeforeEach
    void begin() throws ServiceException {
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

    private void repeatedEverywhere(int expected, String text, long base) {
        for (int node = 0; node < 3; node++) {
            assertEquals(expected, fixture.put(text, base, node).status(), "at control node " + node);
        }
    }

    private String leader() {
        return fixture.r.controlNodes.stream()
                .filter(l -> fixture.r.host(l).alive()
                        && fixture.r.controlNode(l).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
    }

    private String readBack(int node) {
        return fixture.r
                .ask(
                        fixture.r.controlNodes.get(node),
                        new Request("GET", "/-/configuration", Map.of(), new byte[0]),
                        CALL)
                .map(response -> new String(response.body(), StandardCharsets.UTF_8))
                .orElseThrow();
    }

    /**
     * Repeats after many changes, after the loss of the leader, from wiped members and with the whole core restarted.
     */
    @Test
    void takenOrderIsYesAfterHundredsOfChangesAndEveryRestart() throws ServiceException {
        String first = text(version + 2, "r-first");
        long base = version;
        assertEquals(200, fixture.put(first, base, 0).status());
        version += 2;
        change(LATER_CHANGES);
        repeatedEverywhere(200, first, base);
        for (String node : fixture.r.controlNodes) {
            fixture.r.kill(node);
            fixture.r.host(node).disk.wipe();
            fixture.run(2500);
            assertEquals(200, fixture.put(first, base, 0).status(), "while " + node + " is away");
            fixture.r.restart(node);
            fixture.run(6000);
            repeatedEverywhere(200, first, base);
        }
        fixture.r.controlNodes.forEach(fixture.r::kill);
        fixture.run(500);
        for (String node : fixture.r.controlNodes) {
            fixture.r.restart(node);
        }
        fixture.run(4000);
        repeatedEverywhere(200, first, base);
        change(1);
    }

    /** The leader dies with the first copy appended; copies at the two others are answered alike. */
    @Test
    void copiesAtOnceWhileTheLeaderIsLostHaveOneAnswer() throws ServiceException {
        for (int round = 0; round < 12; round++) {
            String text = text(version + 2, "r-round" + round);
            String lost = leader();
            List<Integer> statuses = new ArrayList<>();
            for (String node : fixture.r.controlNodes) {
                fixture.r.request(
                        node,
                        request(text, version),
                        CALL,
                        response -> statuses.add(response.map(Response::status).orElse(0)));
            }
            fixture.run(1 + round);
            fixture.r.kill(lost);
            fixture.r.sim.runUntil(() -> statuses.size() == 3, Duration.ofSeconds(6));
            assertEquals(
                    List.of(),
                    statuses.stream().filter(s -> s / 100 == 4).toList(),
                    "no copy is refused, round " + round);
            fixture.r.restart(lost);
            fixture.run(3000);
            repeatedEverywhere(200, text, version);
            version += 2;
        }
    }

    /** Eight operators on one base, each order at all members at once: one order has a yes everywhere, seven a no. */
    @Test
    void ofEightOrdersAtOnceOneIsTakenWhereverItIsSent() {
        List<String> texts = new ArrayList<>();
        Map<String, Set<Integer>> statuses = new TreeMap<>();
        for (int i = 0; i < ORDERS_AT_ONCE; i++) {
            String text = text(version + 2, "r-operator" + i);
            texts.add(text);
            for (String node : fixture.r.controlNodes) {
                fixture.r.request(
                        node,
                        request(text, version),
                        CALL,
                        response -> statuses.computeIfAbsent(text, t -> new TreeSet<>())
                                .add(response.map(Response::status).orElse(0)));
            }
        }
        fixture.run(CALL.toMillis());
        List<String> taken =
                texts.stream().filter(t -> statuses.get(t).equals(Set.of(200))).toList();
        assertEquals(1, taken.size(), statuses.values().toString());
        texts.stream().filter(t -> !taken.contains(t)).forEach(t -> assertEquals(Set.of(412), statuses.get(t)));
        assertEquals(taken.get(0), readBack(2));
    }

    /** The same text on another base is another order: refused once, it stays refused though the text was taken. */
    @Test
    void refusedOrderStaysRefusedThoughItsTextWasTakenOnAnotherBase() {
        String early = text(version + 10, "r-early");
        repeatedEverywhere(412, early, version - 1);
        assertEquals(200, fixture.put(early, version, 0).status());
        repeatedEverywhere(412, early, version - 1);
        repeatedEverywhere(200, early, version);
    }

    /** An order that was refused because its base was not reached yet, sent again once it is. */
    @Test
    void orderAheadOfItsBaseNeverComesIntoForce() {
        String ahead = text(version + 10, "r-ahead");
        repeatedEverywhere(412, ahead, version + 2);
        change(1);
        repeatedEverywhere(412, ahead, version);
        assertEquals(text(version, "r-0"), readBack(1));
        assertEquals(200, fixture.put(text(version + 10, "r-other"), version, 0).status());
    }

    /** Texts that are different bytes are different orders, also where they read alike as text. */
    @Test
    void bytesThatCannotBeReadAreRefusedAndChangeNothing() {
        byte[] bytes = text(version + 2, "r-odd").getBytes(StandardCharsets.UTF_8);
        bytes[bytes.length / 2] = (byte) 0xff;
        Optional<Response> answer = fixture.r.ask(
                fixture.r.controlNodes.get(0),
                new Request("PUT", "/-/configuration", Map.of("if-match", Long.toString(version)), bytes),
                CALL);
        assertEquals(400, answer.orElseThrow().status());
        assertEquals(fixture.configurationStub.text(), readBack(2));
    }

    @Test
    void brokenOrdersHaveOneDefiniteAnswerAndChangeNothing() {
        String good = text(version + 2, "r-good");
        for (String match : List.of("", "  ", "*", "W/\"3\"", "-3", "3.0", "3, 4", "0x3", "9".repeat(19))) {
            Request broken = new Request(
                    "PUT", "/-/configuration", Map.of("if-match", match), good.getBytes(StandardCharsets.UTF_8));
            assertEquals(
                    400,
                    fixture.r
                            .ask(fixture.r.controlNodes.get(0), broken, CALL)
                            .orElseThrow()
                            .status(),
                    "If-Match: " + match);
        }
        List<String> unreadable = List.of(
                "", good.substring(0, good.length() - 1), good + "x", good + good, good + "{}", "null", "[]", "\"\"");
        for (String text : unreadable) {
            repeatedEverywhere(400, text, version);
        }
        assertEquals(fixture.configurationStub.text(), readBack(0));
        assertEquals(200, fixture.put(good, version, 1).status());
    }
}

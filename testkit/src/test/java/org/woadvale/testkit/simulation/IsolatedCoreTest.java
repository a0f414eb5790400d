package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.replication.Role;

/**
 * A control machine that is cut off from the others for twenty seconds, with orders to it all the while.
 * (docs/design.md, section 6.12)
 */
class IsolatedCoreTest {
    private static final Duration CUT = Duration.ofSeconds(20);
    /** After two renewals that are missing the machine knows; then it answers at once. */
    private static final Duration KNOWN = Duration.ofMillis(700);

    private static final Duration AT_ONCE = Duration.ofMillis(300);
    /** What left a machine before it froze has arrived by then. */
    private static final Duration ON_THE_WAY = Duration.ofMillis(100);

    private static final Duration OPERATOR_GOES_ON = Duration.ofSeconds(1);

    /** How the machine is cut off from the other control machines. */
    private enum Cut {
        BOTH_WAYS,
        INWARD,
        OUTWARD
    }

    static Stream<Arguments> days() {
        List<Arguments> all = new ArrayList<>();
        for (Cut cut : Cut.values()) {
            for (int machine = 0; machine < 3; machine++) {
                all.add(Arguments.of(cut, machine, 40L + 3L * cut.ordinal() + machine));
            }
        }
        return all.stream();
    }

    private static String leader(SimulatedPlatformFleet network) {
        return network.controlNodes.stream()
                .filter(l -> network.host(l).alive()
                        && network.controlNode(l).replica("c0").role() == Role.LEADER
                        && network.controlNode(l).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
    }

    private static void cut(SimulatedPlatformFleet network, Cut how, String machine) {
        for (String other : network.controlNodes) {
            if (!other.equals(machine) && how != Cut.OUTWARD) {
                network.net.cutOneWay(other, machine);
            }
            if (!other.equals(machine) && how != Cut.INWARD) {
                network.net.cutOneWay(machine, other);
            }
        }
    }

    /**
     * Before: the machine kept orders for 2.5 s and more before it said anything, and was ready throughout. Machine 0
     * is the leader of part c0.
     */
    @ParameterizedTest
    @MethodSource("days")
    void theMachineSaysLaterAndTheHistoryIsLinearizable(Cut how, int machine, long seed) throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(seed, 2);
        SimulatedPlatformFleet network = fixture.r;
        network.sim.run(Duration.ofSeconds(2));
        String first = leader(network);
        String cutOff = network.controlNodes.get((network.controlNodes.indexOf(first) + machine) % 3);
        ConfigurationHistory history = new ConfigurationHistory(fixture);
        history.operate("one", network.controlNodes);
        history.operate("two", network.controlNodes);
        history.operate("at-the-cut-off", List.of(cutOff));
        network.sim.run(Duration.ofSeconds(2));
        cut(network, how, cutOff);
        Duration from = network.sim.now();
        network.sim.run(CUT);
        Duration to = network.sim.now();
        if (how != Cut.OUTWARD) {
            assertEquals(503, readiness(network, cutOff));
        }
        network.net.heal();
        network.sim.run(Duration.ofSeconds(8));
        history.stop();
        network.sim.run(Duration.ofSeconds(3));
        assertTrue(history.acknowledged(from.plusSeconds(3), to) > 5, "the majority goes on");
        assertTrue(history.acknowledgedBy(cutOff, to.plusSeconds(1)) > 0, "it serves again");
        assertEquals(List.of(), history.answersOver(OPERATOR_GOES_ON));
        assertEquals(List.of(), history.clearAnswersOf(cutOff, from.plus(KNOWN), to));
        assertEquals(List.of(), history.slowAnswersOf(cutOff, AT_ONCE, from.plusSeconds(2), to));
        assertEquals(List.of(), history.faults());
        assertEquals(200, readiness(network, cutOff));
    }

    private static int readiness(SimulatedPlatformFleet network, String machine) {
        return network.ask(machine, new Request("GET", "/-/readiness", Map.of(), new byte[0]), Duration.ofSeconds(1))
                .map(Response::status)
                .orElse(0);
    }

    /** The leader dies: the others say later rather than nothing, and the order is acknowledged soon after. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void anOrderIsAcknowledgedSoonAfterTheLeaderIsLost(long seed) throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(seed, 2);
        SimulatedPlatformFleet network = fixture.r;
        network.sim.run(Duration.ofSeconds(2));
        network.kill(leader(network));
        Duration lost = network.sim.now();
        ConfigurationHistory history = new ConfigurationHistory(fixture);
        history.order(
                "one",
                network.controlNodes.stream()
                        .filter(l -> network.host(l).alive())
                        .toList(),
                3);
        network.sim.run(Duration.ofMillis(2500));
        assertTrue(history.acknowledged(lost, network.sim.now()) > 0, "not acknowledged 2.5 s after the loss");
        assertEquals(List.of(), history.answersOver(OPERATOR_GOES_ON));
    }

    /** What was read before the machine froze does not leave after it. Before: the old configuration, seconds later. */
    @Test
    void anAnswerThatWasBuiltBeforeAFreezeIsNotGivenAfterIt() throws ServiceException {
        for (int i = 0; i < 24; i++) {
            PlatformFixture fixture = new PlatformFixture(70 + i, 2);
            SimulatedPlatformFleet network = fixture.r;
            network.sim.run(Duration.ofSeconds(2));
            String frozen = leader(network);
            int at = network.controlNodes.indexOf(frozen);
            List<Optional<Response>> answers = new ArrayList<>();
            network.request(
                    frozen,
                    new Request("GET", "/-/configuration", Map.of(), new byte[0]),
                    Duration.ofSeconds(20),
                    answers::add);
            network.sim.run(Duration.ofNanos(250_000L * i));
            network.host(frozen).pause(Duration.ofSeconds(5));
            network.sim.run(ON_THE_WAY);
            boolean before = !answers.isEmpty();
            network.sim.run(Duration.ofSeconds(2));
            String next = fixture.configurationStub.with(9).text();
            assertEquals(200, fixture.put(next, 3, (at + 1) % 3).status());
            network.sim.run(Duration.ofSeconds(8));
            String read = answers.get(0)
                    .filter(response -> response.status() == 200)
                    .map(response -> new String(response.body()))
                    .orElse(next);
            assertTrue(before || read.equals(next), "the old configuration left after the freeze, run " + i);
        }
    }

    /** It uses what it has for as long as its age allows, and no longer. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void aNodeThatSeesOnlyTheCutOffMachineStopsAsTheRulesAsk(int machine) throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(90 + machine, 2);
        SimulatedPlatformFleet network = fixture.r;
        network.sim.run(Duration.ofSeconds(2));
        String cutOff = network.controlNodes.get((network.controlNodes.indexOf(leader(network)) + machine) % 3);
        String front = network.intakes.get(0);
        cut(network, Cut.BOTH_WAYS, cutOff);
        network.all().stream()
                .filter(h -> !h.equals(front) && !h.equals(cutOff))
                .forEach(h -> network.net.cut(front, h));
        network.sim.run(Duration.ofMillis(1600));
        assertTrue(network.dataPlaneNode(front).configurations().fresh().isPresent(), "stopped too early");
        network.sim.run(Duration.ofMillis(1600));
        assertTrue(network.dataPlaneNode(front).configurations().fresh().isEmpty(), "goes on by what it knows");
    }
}

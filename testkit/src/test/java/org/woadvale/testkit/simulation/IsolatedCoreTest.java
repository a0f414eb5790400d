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
 * Isolates a control machine from the others for twenty seconds while operators keep sending it requests
 * (docs/design.md, section 6.12).
 */
class IsolatedCoreTest {
    private static final Duration CUT_DURATION = Duration.ofSeconds(20);
    /**
     * Time until the machine detects its isolation, after two missed renewals; from then on it responds immediately.
     */
    private static final Duration ISOLATION_DETECTION = Duration.ofMillis(700);

    private static final Duration IMMEDIATE_RESPONSE = Duration.ofMillis(300);
    /** Time for frames sent before a machine was paused to arrive. */
    private static final Duration IN_FLIGHT = Duration.ofMillis(100);

    private static final Duration OPERATOR_TIMEOUT = Duration.ofSeconds(1);

    /** Which direction of the links to the other control machines is cut. */
    private enum Cut {
        BOTH_WAYS,
        INWARD,
        OUTWARD
    }

    static Stream<Arguments> cuts() {
        List<Arguments> arguments = new ArrayList<>();
        for (Cut cut : Cut.values()) {
            for (int machine = 0; machine < 3; machine++) {
                arguments.add(Arguments.of(cut, machine, 40L + 3L * cut.ordinal() + machine));
            }
        }
        return arguments.stream();
    }

    private static String leader(SimulatedPlatformFleet fleet) {
        return fleet.controlNodes.stream()
                .filter(node -> fleet.host(node).alive()
                        && fleet.controlNode(node).replica("c0").role() == Role.LEADER
                        && fleet.controlNode(node).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
    }

    private static void cut(SimulatedPlatformFleet fleet, Cut how, String machine) {
        for (String other : fleet.controlNodes) {
            if (!other.equals(machine) && how != Cut.OUTWARD) {
                fleet.net.cutOneWay(other, machine);
            }
            if (!other.equals(machine) && how != Cut.INWARD) {
                fleet.net.cutOneWay(machine, other);
            }
        }
    }

    /**
     * Guards against an isolated machine that holds requests for 2.5 s or more before it responds and stays ready
     * throughout. Machine 0 is the leader of partition c0.
     */
    @ParameterizedTest
    @MethodSource("cuts")
    void isolatedMachineRejectsRequestsAndTheHistoryIsLinearizable(Cut how, int machine, long seed)
            throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(seed, 2);
        SimulatedPlatformFleet fleet = fixture.fleet;
        fleet.sim.run(Duration.ofSeconds(2));
        String leader = leader(fleet);
        String isolated = fleet.controlNodes.get((fleet.controlNodes.indexOf(leader) + machine) % 3);
        ConfigurationHistory history = new ConfigurationHistory(fixture);
        history.startOperator("one", fleet.controlNodes);
        history.startOperator("two", fleet.controlNodes);
        history.startOperator("at-the-cut-off", List.of(isolated));
        fleet.sim.run(Duration.ofSeconds(2));
        cut(fleet, how, isolated);
        Duration from = fleet.sim.now();
        fleet.sim.run(CUT_DURATION);
        Duration to = fleet.sim.now();
        if (how != Cut.OUTWARD) {
            assertEquals(503, readiness(fleet, isolated));
        }
        fleet.net.heal();
        fleet.sim.run(Duration.ofSeconds(8));
        history.stop();
        fleet.sim.run(Duration.ofSeconds(3));
        assertTrue(history.countAcknowledged(from.plusSeconds(3), to) > 5, "the majority must keep accepting changes");
        assertTrue(
                history.countAcknowledgedBy(isolated, to.plusSeconds(1)) > 0, "the isolated machine must serve again");
        assertEquals(List.of(), history.responsesSlowerThan(OPERATOR_TIMEOUT));
        assertEquals(List.of(), history.definiteResponsesOf(isolated, from.plus(ISOLATION_DETECTION), to));
        assertEquals(List.of(), history.slowResponsesOf(isolated, IMMEDIATE_RESPONSE, from.plusSeconds(2), to));
        assertEquals(List.of(), history.violations());
        assertEquals(200, readiness(fleet, isolated));
    }

    private static int readiness(SimulatedPlatformFleet fleet, String machine) {
        return fleet.requestAndWait(
                        machine, new Request("GET", "/-/readiness", Map.of(), new byte[0]), Duration.ofSeconds(1))
                .map(Response::status)
                .orElse(0);
    }

    /**
     * After the loss of the leader the others reject requests as retryable instead of timing out, and soon accept the
     * change.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void changeIsAcknowledgedSoonAfterTheLeaderIsLost(long seed) throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(seed, 2);
        SimulatedPlatformFleet fleet = fixture.fleet;
        fleet.sim.run(Duration.ofSeconds(2));
        fleet.kill(leader(fleet));
        Duration lost = fleet.sim.now();
        ConfigurationHistory history = new ConfigurationHistory(fixture);
        history.submitChange(
                "one",
                fleet.controlNodes.stream()
                        .filter(node -> fleet.host(node).alive())
                        .toList(),
                3);
        fleet.sim.run(Duration.ofMillis(2500));
        assertTrue(history.countAcknowledged(lost, fleet.sim.now()) > 0, "not acknowledged 2.5 s after the loss");
        assertEquals(List.of(), history.responsesSlowerThan(OPERATOR_TIMEOUT));
    }

    /**
     * Guards against a machine that sends the old configuration seconds later, because it was read before the machine
     * was paused and sent after it resumed.
     */
    @Test
    void responseBuiltBeforeAPauseIsNotSentAfterIt() throws ServiceException {
        for (int i = 0; i < 24; i++) {
            PlatformFixture fixture = new PlatformFixture(70 + i, 2);
            SimulatedPlatformFleet fleet = fixture.fleet;
            fleet.sim.run(Duration.ofSeconds(2));
            String paused = leader(fleet);
            int pausedIndex = fleet.controlNodes.indexOf(paused);
            List<Optional<Response>> answers = new ArrayList<>();
            fleet.request(
                    paused,
                    new Request("GET", "/-/configuration", Map.of(), new byte[0]),
                    Duration.ofSeconds(20),
                    answers::add);
            fleet.sim.run(Duration.ofNanos(250_000L * i));
            fleet.host(paused).pause(Duration.ofSeconds(5));
            fleet.sim.run(IN_FLIGHT);
            boolean answeredBeforePause = !answers.isEmpty();
            fleet.sim.run(Duration.ofSeconds(2));
            String newText = fixture.configurationStub.with(9).text();
            assertEquals(200, fixture.put(newText, 3, (pausedIndex + 1) % 3).status());
            fleet.sim.run(Duration.ofSeconds(8));
            String read = answers.get(0)
                    .filter(response -> response.status() == 200)
                    .map(response -> new String(response.body()))
                    .orElse(newText);
            assertTrue(
                    answeredBeforePause || read.equals(newText),
                    "the old configuration was sent after the pause, run " + i);
        }
    }

    /** Such a node uses the configuration that it has until its maximum age, and no longer. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void nodeThatReachesOnlyTheIsolatedMachineStopsAtTheMaximumAge(int machine) throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(90 + machine, 2);
        SimulatedPlatformFleet fleet = fixture.fleet;
        fleet.sim.run(Duration.ofSeconds(2));
        String isolated = fleet.controlNodes.get((fleet.controlNodes.indexOf(leader(fleet)) + machine) % 3);
        String intake = fleet.intakes.get(0);
        cut(fleet, Cut.BOTH_WAYS, isolated);
        fleet.all().stream()
                .filter(host -> !host.equals(intake) && !host.equals(isolated))
                .forEach(host -> fleet.net.cut(intake, host));
        fleet.sim.run(Duration.ofMillis(1600));
        assertTrue(fleet.dataPlaneNode(intake).configurations().fresh().isPresent(), "stopped too early");
        fleet.sim.run(Duration.ofMillis(1600));
        assertTrue(
                fleet.dataPlaneNode(intake).configurations().fresh().isEmpty(), "still uses its expired configuration");
    }
}

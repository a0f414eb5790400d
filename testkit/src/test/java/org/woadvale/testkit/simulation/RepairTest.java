package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.testkit.stub.TestConfiguration;

/** What is lost for good is replaced, with traffic going on. */
class RepairTest {
    private static void ended(FleetSimulation simulation) {
        assertTrue(simulation.settle(Duration.ofSeconds(120)), "open: " + simulation.firstOpen());
        assertEquals(List.of(), simulation.violations());
    }

    private static boolean allParts(FleetSimulation simulation, String store, boolean voting) {
        return simulation.w.stores.stream()
                .filter(s -> simulation.w.host(s).alive())
                .allMatch(s -> simulation.w.dataPlaneNode(s).partitionGroups().values().stream()
                        .allMatch(g -> g.contains(store) == voting));
    }

    @Test
    void fourthStoreTakesThePlaceOfALostOne() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(3, 3, 3, 4).startAll();
        simulation.traffic(20);
        simulation.w.sim.run(Duration.ofSeconds(5));
        String lost = simulation.w.stores.get(0);
        simulation.w.kill(lost);
        String spare = simulation.w.newStore();
        assertTrue(
                simulation.w.sim.runUntil(
                        () -> simulation
                                                .w
                                                .dataPlaneNode(spare)
                                                .partitionGroups()
                                                .size()
                                        == 8
                                && allParts(simulation, lost, false),
                        Duration.ofSeconds(60)),
                "the spare is not seated everywhere");
        simulation.w.kill(simulation.w.stores.get(1));
        simulation.w.sim.run(Duration.ofSeconds(8));
        long before = simulation.kinds().getOrDefault("accepted", 0L);
        simulation.w.sim.run(Duration.ofSeconds(5));
        assertTrue(simulation.kinds().get("accepted") > before + 50, "service goes on after a second loss");
        ended(simulation);
    }

    /** Before: a store that merely joined got nothing. Its zone has another, so it shares that one's copies only. */
    @Test
    void storeThatJoinsGetsItsShareAndThenAllIsQuiet() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(9, 3, 3, 4).startAll();
        simulation.traffic(20);
        simulation.w.sim.run(Duration.ofSeconds(5));
        String fresh = simulation.w.newStore();
        assertTrue(
                simulation.w.sim.runUntil(
                        () -> simulation
                                                .w
                                                .dataPlaneNode(fresh)
                                                .partitionGroups()
                                                .size()
                                        == 4
                                && simulation.w.dataPlaneNode(fresh).ledPartitionCount() == 2,
                        Duration.ofSeconds(120)),
                "it has " + simulation.w.dataPlaneNode(fresh).partitionGroups().keySet() + ", owns "
                        + simulation.w.dataPlaneNode(fresh).ledPartitionCount());
        simulation.w.sim.run(Duration.ofSeconds(20));
        long terms = terms(simulation);
        simulation.w.sim.run(Duration.ofSeconds(60));
        assertEquals(terms, terms(simulation), "parts go on changing hands");
        for (String s : simulation.w.stores) {
            assertEquals(2, simulation.w.dataPlaneNode(s).ledPartitionCount(), s);
        }
        assertFalse(
                simulation.kinds().containsKey("unavailable"),
                simulation.kinds().toString());
        ended(simulation);
    }

    private static long terms(FleetSimulation simulation) {
        return ServiceNames.messagePartitions().stream()
                .mapToLong(p -> simulation.w.stores.stream()
                        .mapToLong(s -> simulation.w.dataPlaneNode(s).term(p))
                        .max()
                        .orElse(0))
                .sum();
    }

    @Test
    void shortAbsenceOfAStoreMovesNothing() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(4, 3, 4, 4).startAll();
        simulation.traffic(20);
        simulation.w.sim.run(Duration.ofSeconds(5));
        Map<String, ?> before =
                simulation.w.dataPlaneNode(simulation.w.stores.get(1)).partitionGroups();
        simulation.w.kill(simulation.w.stores.get(0));
        simulation.w.sim.run(Duration.ofSeconds(6));
        simulation.w.restart(simulation.w.stores.get(0));
        simulation.w.sim.run(Duration.ofSeconds(10));
        assertEquals(
                before, simulation.w.dataPlaneNode(simulation.w.stores.get(1)).partitionGroups());
        ended(simulation);
    }

    @Test
    void lostLighthouseIsReplacedByAnother() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(5, 3, 3, 4).startAll();
        simulation.traffic(20);
        simulation.w.kill(simulation.w.controlNodes.get(0));
        String spare = simulation.w.newControlNodeFirstSettings();
        List<String> wanted = List.of(simulation.w.controlNodes.get(1), simulation.w.controlNodes.get(2), spare);
        AtomicInteger status = new AtomicInteger();
        simulation.operate(
                new Request("PUT", "/v1/core", Map.of(), Configurations.write(Map.of("lighthouses", wanted))),
                response -> status.set(response.status()));
        assertTrue(
                simulation.w.sim.runUntil(
                        () -> status.get() == 200
                                && CoreExchange.votesEverywhere(simulation.w, spare)
                                && simulation
                                        .w
                                        .controlNode(spare)
                                        .controlNodes()
                                        .equals(wanted.stream().sorted().toList()),
                        Duration.ofSeconds(60)),
                "not seated: " + simulation.w.controlNode(spare).controlNodes());
        simulation.w.kill(simulation.w.controlNodes.get(1));
        simulation.w.sim.run(Duration.ofSeconds(8));
        AtomicInteger taken = new AtomicInteger();
        simulation.put(simulation.configuration, simulation.version, "after", response -> taken.set(response.status()));
        assertTrue(
                simulation.w.sim.runUntil(() -> taken.get() == 200, Duration.ofSeconds(20)), "answer " + taken.get());
        ended(simulation);
    }

    /**
     * The operator goes on after a second of silence, so a machine that waited 2.5 s for a leader (as before) was not
     * heard: each answer comes within that second, and the operator's repeats have a clear yes within 2.5 s of the
     * loss.
     */
    @Test
    void layoutPutRightAfterTheLossOfItsOwnerGetsAClearYes() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(8, 3, 3, 4).startAll();
        Duration lost = simulation.w.sim.now();
        simulation.w.kill(simulation.w.controlNodes.get(0));
        List<Integer> answers = new ArrayList<>();
        repeat(simulation, answers, lost.plusMillis(2500));
        simulation.w.sim.run(Duration.ofSeconds(6));
        assertEquals(200, answers.get(answers.size() - 1), answers.toString());
        assertTrue(answers.stream().limit(answers.size() - 1).allMatch(a -> a >= 503), answers.toString());
    }

    private static void repeat(FleetSimulation simulation, List<Integer> answers, Duration until) {
        byte[] json = Configurations.write(simulation.configuration);
        Request put = new Request("PUT", "/v1/layout", Map.of("if-match", "1", "x-request-id", "now"), json);
        Duration sent = simulation.w.sim.now();
        simulation.w.request(simulation.w.controlNodes.get(1), put, Duration.ofSeconds(5), optional -> {
            assertTrue(
                    simulation.w.sim.now().minus(sent).compareTo(Duration.ofSeconds(1)) < 0,
                    "silent for over a second");
            assertTrue(simulation.w.sim.now().compareTo(until) < 0, "no clear answer yet: " + answers);
            answers.add(optional.map(response -> response.status()).orElse(0));
            if (answers.get(answers.size() - 1) != 200) {
                simulation.w.sim.after(Duration.ofMillis(200), () -> repeat(simulation, answers, until));
            }
        });
    }

    /** Before, when restarted holders of buckets waited for their own leases to lapse: 5.6 to 6.2 s. */
    @Test
    void fullOutageIsOverWithinItsBudget() throws ServiceException {
        Duration took = Measure.outage(1, 8, 3, new TestConfiguration(8, 4, 45, 60, 26));
        assertTrue(took.compareTo(Duration.ofMillis(5000)) < 0, "first acceptance after " + took);
    }

    /** Guards against 400 for the list of a planned exchange that the core has begun by itself: groups then differ. */
    @Test
    void lighthouseIsNamedWhileTheCoreExchangesItByItself() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(8, 3, 3, 4).startAll();
        simulation.w.sim.run(Duration.ofSeconds(3));
        List<String> staying = List.copyOf(simulation.w.controlNodes.subList(0, 2));
        simulation.w.lose(simulation.w.controlNodes.get(2));
        simulation.w.sim.run(Duration.ofSeconds(2));
        String spare = simulation.w.newControlNode();
        Optional<String> asked = Optional.empty();
        for (int step = 0; step < 10_000 && asked.isEmpty(); step++) {
            simulation.w.sim.run(Duration.ofMillis(1));
            asked = staying.stream()
                    .filter(node ->
                            simulation.w.controlNode(node).controlNodes().size() == 4)
                    .findFirst();
        }
        assertTrue(asked.isPresent(), "no exchange was seen half done");
        List<String> wanted = List.of(staying.get(0), staying.get(1), spare);
        byte[] body = Configurations.write(Map.of("lighthouses", wanted));
        List<Integer> answers = new ArrayList<>();
        Request put = new Request("PUT", "/v1/core", Map.of(), body);
        simulation.w.request(
                asked.orElseThrow(),
                put,
                Duration.ofSeconds(5),
                optional ->
                        answers.add(optional.map(response -> response.status()).orElse(0)));
        simulation.w.sim.run(Duration.ofSeconds(5));
        assertEquals(List.of(200), answers);
    }

    @Test
    void twoLighthousesAtOnceAreRefused() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(6, 3, 3, 4).startAll();
        AtomicInteger status = new AtomicInteger();
        simulation.operate(
                new Request(
                        "PUT",
                        "/v1/core",
                        Map.of(),
                        Configurations.write(Map.of(
                                "lighthouses", List.of(simulation.w.controlNodes.get(0), "10.9.9.1:1", "10.9.9.2:1")))),
                response -> status.set(response.status()));
        simulation.w.sim.run(Duration.ofSeconds(2));
        assertEquals(409, status.get());
    }

    @Test
    void ownersSpreadAgainAfterARollingRestart() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(7, 3, 3, 4).startAll();
        simulation.traffic(20);
        for (String s : simulation.w.stores) {
            simulation.w.dataPlaneNode(s).drain();
            simulation.w.sim.run(Duration.ofSeconds(1));
            assertTrue(simulation.w.dataPlaneNode(s).drain(), "drained within a second");
            simulation.w.kill(s);
            simulation.w.sim.run(Duration.ofSeconds(2));
            simulation.w.restart(s);
            simulation.w.sim.run(Duration.ofSeconds(6));
        }
        for (String s : simulation.w.stores) {
            long owned = simulation.w.dataPlaneNode(s).ledPartitionCount();
            assertTrue(owned >= 2 && owned <= 3, s + " owns " + owned + " of 8 parts");
        }
        assertFalse(
                simulation.kinds().containsKey("unavailable"),
                simulation.kinds().toString());
        ended(simulation);
    }
}

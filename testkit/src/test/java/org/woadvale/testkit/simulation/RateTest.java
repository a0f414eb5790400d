package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.Edit;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** An external endpoint with more work than its rate limit allows, while the bucket that limits it changes. */
class RateTest {
    private static final String ENDPOINT = TestConfiguration.endpoint(0);

    private static List<String> violationsUnderLoad(long seed, Consumer<FleetSimulation> change)
            throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(
                        seed, 3, 3, 2, new TestConfiguration(3, 1, 60, 60, 26), SimulatedFleet.LARGE_RING)
                .startAll();
        for (int ms = 0; ms < 12000; ms += 20) {
            simulation.fleet.sim.after(Duration.ofMillis(ms), () -> simulation.submitToEndpoint(0));
        }
        simulation.fleet.sim.after(Duration.ofSeconds(5), () -> change.accept(simulation));
        simulation.fleet.sim.run(Duration.ofSeconds(13));
        assertTrue(simulation.settle(Duration.ofSeconds(200)), "open: " + simulation.firstOpen());
        return simulation.violations();
    }

    private static String holder(FleetSimulation simulation) {
        return simulation.fleet.intakes.stream()
                .filter(intake -> simulation.fleet.dataPlaneNode(intake).ownedBuckets().stream()
                        .anyMatch(bucket -> bucket.startsWith("endpoint/")))
                .findFirst()
                .orElseThrow();
    }

    /** Cuts the bucket holder and one store off from every node that has newer views, but not from each other. */
    private static void isolateHolderWithOneStore(FleetSimulation simulation) {
        String holder = holder(simulation);
        String store = simulation.fleet.stores.get(0);
        simulation.fleet.net.cutOff(holder);
        simulation.fleet.net.join(holder, store);
        simulation.fleet.controlNodes.forEach(node -> simulation.fleet.net.cut(node, store));
        simulation.fleet.intakes.stream()
                .filter(intake -> !intake.equals(holder))
                .forEach(intake -> simulation.fleet.net.cut(intake, store));
        simulation.fleet.sim.after(Duration.ofSeconds(3), simulation.fleet.net::heal);
    }

    /** Guards against buckets keyed by service name: after a rename, two of them granted tokens for up to 2 s. */
    @Test
    void renamedServiceKeepsItsEndpointBucket() throws ServiceException {
        for (long seed = 1; seed <= 1; seed++) {
            assertEquals(List.of(), violationsUnderLoad(seed, simulation -> {
                isolateHolderWithOneStore(simulation);
                Configuration renamed =
                        Edit.services(simulation.configuration, m -> m.put("renamed", m.remove(ENDPOINT)));
                simulation.put(
                        Edit.lanes(renamed, m -> m.put("check0", Edit.service(m.get("check0"), "renamed"))),
                        simulation.version,
                        "rename",
                        response -> assertEquals(200, response.status()));
            }));
        }
    }

    @Test
    void loweredRateHoldsAfterThreeSeconds() throws ServiceException {
        assertEquals(List.of(), violationsUnderLoad(1, simulation -> {
            Duration sent = simulation.fleet.sim.now();
            simulation.put(
                    Edit.services(simulation.configuration, m -> m.put(ENDPOINT, Edit.rate(m.get(ENDPOINT), 8))),
                    simulation.version,
                    "lower",
                    response -> simulation.fleet.observations.endpointLimit(
                            ENDPOINT, new Observations.Limit(8, 0, sent, simulation.fleet.sim.now())));
        }));
    }

    @Test
    void changeOfHolderKeepsTheRate() throws ServiceException {
        for (long seed = 1; seed <= 1; seed++) {
            assertEquals(List.of(), violationsUnderLoad(seed, simulation -> {
                String holder = holder(simulation);
                simulation.fleet.kill(holder);
                simulation.fleet.sim.after(Duration.ofSeconds(3), () -> simulation.fleet.begin(holder));
            }));
        }
    }
}

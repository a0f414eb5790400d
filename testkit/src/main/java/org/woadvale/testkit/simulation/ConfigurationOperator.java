package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.http.Request;
import org.woadvale.testkit.stub.Edit;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** An operator that changes configuration and keys, races itself, sends invalid changes, and checks their effect. */
final class ConfigurationOperator {
    private static final Duration PROBE_DURATION = Duration.ofSeconds(7);
    private final FleetSimulation simulation;
    private final SimulatedFleet fleet;
    private final KeyChanges keyChanges;
    private int nextNumber;

    ConfigurationOperator(FleetSimulation simulation) {
        this.simulation = simulation;
        this.fleet = simulation.fleet;
        this.keyChanges = new KeyChanges(simulation, () -> nextNumber++);
    }

    private Configuration withLane(Configuration configuration, String lane) {
        Map<String, Configuration.Lane> lanes = new TreeMap<>(configuration.lanes());
        lanes.put(
                lane,
                new Configuration.Lane(
                        TestConfiguration.GROUP,
                        Configuration.Ordering.NONE,
                        30000,
                        5,
                        3000,
                        Configuration.UnknownOutcomePolicy.FAIL));
        return new Configuration(configuration.tenants(), configuration.services(), lanes, configuration.keys());
    }

    private static Configuration withoutLane(Configuration configuration, String lane) {
        Map<String, Configuration.Lane> lanes = new TreeMap<>(configuration.lanes());
        lanes.remove(lane);
        return new Configuration(configuration.tenants(), configuration.services(), lanes, configuration.keys());
    }

    /** Adds a lane, or removes one that was added; then every intake must follow within 3 s. */
    void change() {
        changeAt(fleet.controlNodes);
    }

    void changeAt(List<String> controlNodes) {
        Optional<String> extra = simulation.configuration.lanes().keySet().stream()
                .filter(lane -> lane.startsWith("extra"))
                .findFirst();
        boolean remove = extra.isPresent() && nextNumber % 2 == 1;
        String lane = remove ? extra.get() : "extra" + nextNumber;
        Configuration next =
                remove ? withoutLane(simulation.configuration, lane) : withLane(simulation.configuration, lane);
        simulation.put(next, simulation.version, "change" + nextNumber++, controlNodes, response -> {
            if (response.status() == 200) {
                long putsAtChange = simulation.puts;
                fleet.intakes.forEach(intake -> probe(
                        intake,
                        lane,
                        !remove,
                        putsAtChange,
                        fleet.sim.now(),
                        fleet.sim.now().plus(PROBE_DURATION)));
            }
        });
    }

    /**
     * Submits on the lane for a while; the next configuration sent ends the probe, since it may apply before its answer
     * is seen.
     */
    private void probe(
            String intake, String lane, boolean added, long putsAtChange, Duration acknowledged, Duration until) {
        if (fleet.sim.now().compareTo(until) > 0 || simulation.puts != putsAtChange) {
            return;
        }
        Duration sent = fleet.sim.now();
        byte[] body = Configurations.write(
                Map.of("id", "probe" + nextNumber + "-" + sent.toNanos(), "delayMs", 0, "body", Map.of()));
        Request request = new Request(
                "POST",
                "/v1/lanes/" + lane + "/messages",
                Map.of("authorization", "Bearer " + TestConfiguration.callerKey(2)),
                body);
        fleet.request(intake, request, Duration.ofSeconds(5), optional -> {
            String kind = optional.map(response ->
                            FleetSimulation.json(response).path("kind").asText(""))
                    .orElse("");
            boolean ignored = added
                    ? kind.equals("unknown_lane")
                    : optional.isPresent() && optional.get().status() == 202;
            if (ignored && simulation.puts == putsAtChange) {
                fleet.observations.append(
                        fleet.observations.ignored,
                        new Observations.IgnoredConfiguration(lane + " at " + intake, acknowledged, sent));
            }
        });
        fleet.sim.after(Duration.ofMillis(400), () -> probe(intake, lane, added, putsAtChange, acknowledged, until));
    }

    /** Sends two changes of the same base version, of which at most one may be accepted. */
    void race() {
        long base = simulation.version;
        simulation.put(
                withLane(simulation.configuration, "race" + nextNumber), base, "race-a" + nextNumber, response -> {});
        simulation.put(
                withLane(simulation.configuration, "other" + nextNumber), base, "race-b" + nextNumber, response -> {});
        nextNumber++;
    }

    /** Changes the allowance of a random tenant, or restores the usual one if it was changed before. */
    void allowance() {
        int tenant = fleet.sim.random().nextInt(fleet.testConfiguration.tenants());
        boolean usual = simulation
                        .configuration
                        .tenants()
                        .get(TestConfiguration.tenant(tenant))
                        .ratePerS()
                != fleet.testConfiguration.ratePerS();
        double rate = usual
                ? fleet.testConfiguration.ratePerS()
                : fleet.testConfiguration.ratePerS() * (fleet.sim.chance(0.5) ? 0.3 : 1.5);
        int burst = usual
                ? fleet.testConfiguration.burst()
                : (int) Math.max(1, fleet.testConfiguration.burst() * rate / fleet.testConfiguration.ratePerS());
        Duration sent = fleet.sim.now();
        simulation.put(
                Edit.tenant(simulation.configuration, TestConfiguration.tenant(tenant), rate, burst),
                simulation.version,
                "allow" + nextNumber++,
                response -> {
                    if (response.status() == 200) {
                        fleet.observations.tenantLimit(
                                TestConfiguration.tenant(tenant),
                                new Observations.Limit(rate, burst, sent, fleet.sim.now()));
                    }
                });
    }

    void rate() {
        String endpoint = TestConfiguration.endpoint(fleet.sim.random().nextInt(fleet.testConfiguration.endpoints()));
        double rate = fleet.sim.chance(0.5)
                ? fleet.testConfiguration.endpointRate()
                : 10 + fleet.sim.random().nextInt(20);
        Duration sent = fleet.sim.now();
        simulation.put(
                Edit.services(
                        simulation.configuration,
                        services -> services.put(endpoint, Edit.rate(services.get(endpoint), rate))),
                simulation.version,
                "rate" + nextNumber++,
                response -> {
                    if (response.status() == 200) {
                        fleet.observations.endpointLimit(
                                endpoint, new Observations.Limit(rate, 0, sent, fleet.sim.now()));
                    }
                });
    }

    void timeLimit() {
        String lane = fleet.sim.chance(0.5) ? "hold" : "accept";
        long limit = fleet.sim.chance(0.5) ? TestConfiguration.TIME_LIMIT_MS : 30000;
        fleet.observations.lane(lane, new Observations.LaneLimits(limit, TestConfiguration.ATTEMPTS));
        simulation.put(
                Edit.lanes(
                        simulation.configuration,
                        lanes -> lanes.put(lane, Edit.limits(lanes.get(lane), limit, TestConfiguration.ATTEMPTS))),
                simulation.version,
                "limit" + nextNumber++,
                response -> {});
    }

    void bad() {
        Map<String, Configuration.Lane> lanes = new HashMap<>(simulation.configuration.lanes());
        lanes.put(
                "broken",
                new Configuration.Lane(
                        "nowhere",
                        Configuration.Ordering.NONE,
                        30000,
                        5,
                        3000,
                        Configuration.UnknownOutcomePolicy.FAIL));
        simulation.put(
                new Configuration(
                        simulation.configuration.tenants(),
                        simulation.configuration.services(),
                        lanes,
                        simulation.configuration.keys()),
                simulation.version,
                "bad" + nextNumber++,
                response -> {});
    }

    /** Adds a caller's key and withdraws it; the key stays in use on every intake for long after. */
    void withdraw() {
        keyChanges.withdraw();
    }

    /** Replaces a group's processor key; its processors use the old one for a while longer. */
    void rotate() {
        keyChanges.rotate();
    }
}

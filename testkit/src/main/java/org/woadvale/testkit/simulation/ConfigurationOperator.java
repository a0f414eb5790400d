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

/** An operator who changes the configuration, races himself, sends bad ones, withdraws keys, and checks the effect. */
final class ConfigurationOperator {
    private static final Duration PROBE_FOR = Duration.ofSeconds(7);
    private final FleetSimulation simulation;
    private final SimulatedFleet fleet;
    private final KeyChanges keyChanges;
    private int n;

    ConfigurationOperator(FleetSimulation simulation) {
        this.simulation = simulation;
        this.fleet = simulation.w;
        this.keyChanges = new KeyChanges(simulation, () -> n++);
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

    /** Adds a lane, or takes the last added one away; then every intake must follow within 3 s. */
    void change() {
        changeAt(fleet.controlNodes);
    }

    void changeAt(List<String> controlNodes) {
        Optional<String> extra = simulation.configuration.lanes().keySet().stream()
                .filter(x -> x.startsWith("extra"))
                .findFirst();
        boolean remove = extra.isPresent() && n % 2 == 1;
        String lane = remove ? extra.get() : "extra" + n;
        Configuration next =
                remove ? withoutLane(simulation.configuration, lane) : withLane(simulation.configuration, lane);
        simulation.put(next, simulation.version, "change" + n++, controlNodes, response -> {
            if (response.status() == 200) {
                long puts = simulation.puts;
                fleet.intakes.forEach(i -> probe(
                        i, lane, !remove, puts, fleet.sim.now(), fleet.sim.now().plus(PROBE_FOR)));
            }
        });
    }

    /**
     * Submits on the lane for a while; the next configuration sent ends the probe, since it may apply before its answer
     * is seen.
     */
    private void probe(String intake, String lane, boolean wanted, long puts, Duration acknowledged, Duration until) {
        if (fleet.sim.now().compareTo(until) > 0 || simulation.puts != puts) {
            return;
        }
        Duration sent = fleet.sim.now();
        byte[] body =
                Configurations.write(Map.of("id", "probe" + n + "-" + sent.toNanos(), "delayMs", 0, "body", Map.of()));
        Request request = new Request(
                "POST",
                "/v1/lanes/" + lane + "/messages",
                Map.of("authorization", "Bearer " + TestConfiguration.callerKey(2)),
                body);
        fleet.request(intake, request, Duration.ofSeconds(5), optional -> {
            String kind = optional.map(response ->
                            FleetSimulation.json(response).path("kind").asText(""))
                    .orElse("");
            boolean ignored = wanted
                    ? kind.equals("unknown_lane")
                    : optional.isPresent() && optional.get().status() == 202;
            if (ignored && simulation.puts == puts) {
                fleet.seen.saw(
                        fleet.seen.ignored,
                        new Observations.ConfigurationNeeded(lane + " at " + intake, acknowledged, sent));
            }
        });
        fleet.sim.after(Duration.ofMillis(400), () -> probe(intake, lane, wanted, puts, acknowledged, until));
    }

    /** Two operators, one base: at most one is taken. */
    void race() {
        long base = simulation.version;
        simulation.put(withLane(simulation.configuration, "race" + n), base, "race-a" + n, response -> {});
        simulation.put(withLane(simulation.configuration, "other" + n), base, "race-b" + n, response -> {});
        n++;
    }

    /** A tenant is allowed more or less; back to the usual at the next. */
    void allowance() {
        int t = fleet.sim.random().nextInt(fleet.testConfiguration.tenants());
        boolean usual = simulation
                        .configuration
                        .tenants()
                        .get(TestConfiguration.tenant(t))
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
                Edit.tenant(simulation.configuration, TestConfiguration.tenant(t), rate, burst),
                simulation.version,
                "allow" + n++,
                response -> {
                    if (response.status() == 200) {
                        fleet.seen.allowed(
                                TestConfiguration.tenant(t),
                                new Observations.Limit(rate, burst, sent, fleet.sim.now()));
                    }
                });
    }

    void rate() {
        String e = TestConfiguration.endpoint(fleet.sim.random().nextInt(fleet.testConfiguration.endpoints()));
        double rate = fleet.sim.chance(0.5)
                ? fleet.testConfiguration.endpointRate()
                : 10 + fleet.sim.random().nextInt(20);
        Duration sent = fleet.sim.now();
        simulation.put(
                Edit.services(simulation.configuration, m -> m.put(e, Edit.rate(m.get(e), rate))),
                simulation.version,
                "rate" + n++,
                response -> {
                    if (response.status() == 200) {
                        fleet.seen.paced(e, new Observations.Limit(rate, 0, sent, fleet.sim.now()));
                    }
                });
    }

    void timeLimit() {
        String lane = fleet.sim.chance(0.5) ? "hold" : "accept";
        long limit = fleet.sim.chance(0.5) ? TestConfiguration.TIME_LIMIT_MS : 30000;
        fleet.seen.lane(lane, new Observations.LaneLimits(limit, TestConfiguration.ATTEMPTS));
        simulation.put(
                Edit.lanes(
                        simulation.configuration,
                        m -> m.put(lane, Edit.limits(m.get(lane), limit, TestConfiguration.ATTEMPTS))),
                simulation.version,
                "limit" + n++,
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
                "bad" + n++,
                response -> {});
    }

    /** A caller's key is added, withdrawn, and used on every intake long after. */
    void withdraw() {
        keyChanges.withdraw();
    }

    /** A group's processor key is exchanged; its processors go on with the old one for a while. */
    void rotate() {
        keyChanges.rotate();
    }
}

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
    private final FleetSimulation v;
    private final World w;
    private final KeyChanges keyChanges;
    private int n;

    ConfigurationOperator(FleetSimulation v) {
        this.v = v;
        this.w = v.w;
        this.keyChanges = new KeyChanges(v, () -> n++);
    }

    private Configuration withLane(Configuration l, String lane) {
        Map<String, Configuration.Lane> lanes = new TreeMap<>(l.lanes());
        lanes.put(
                lane,
                new Configuration.Lane(
                        TestConfiguration.GROUP,
                        Configuration.Ordering.NONE,
                        30000,
                        5,
                        3000,
                        Configuration.IfUnclear.FAIL));
        return new Configuration(l.tenants(), l.services(), lanes, l.keys());
    }

    private static Configuration withoutLane(Configuration l, String lane) {
        Map<String, Configuration.Lane> lanes = new TreeMap<>(l.lanes());
        lanes.remove(lane);
        return new Configuration(l.tenants(), l.services(), lanes, l.keys());
    }

    /** Adds a lane, or takes the last added one away; then every intake must follow within 3 s. */
    void change() {
        changeAt(w.lighthouses);
    }

    void changeAt(List<String> lighthouses) {
        Optional<String> extra = v.configuration.lanes().keySet().stream()
                .filter(x -> x.startsWith("extra"))
                .findFirst();
        boolean remove = extra.isPresent() && n % 2 == 1;
        String lane = remove ? extra.get() : "extra" + n;
        Configuration next = remove ? withoutLane(v.configuration, lane) : withLane(v.configuration, lane);
        v.put(next, v.version, "change" + n++, lighthouses, a -> {
            if (a.status() == 200) {
                long puts = v.puts;
                w.intakes.forEach(i ->
                        probe(i, lane, !remove, puts, w.sim.now(), w.sim.now().plus(PROBE_FOR)));
            }
        });
    }

    /**
     * Submits on the lane for a while; the next configuration sent ends the probe, since it may apply before its answer
     * is seen.
     */
    private void probe(String intake, String lane, boolean wanted, long puts, Duration acknowledged, Duration until) {
        if (w.sim.now().compareTo(until) > 0 || v.puts != puts) {
            return;
        }
        Duration sent = w.sim.now();
        byte[] body =
                Configurations.write(Map.of("id", "probe" + n + "-" + sent.toNanos(), "delayMs", 0, "body", Map.of()));
        Request q = new Request(
                "POST",
                "/v1/lanes/" + lane + "/messages",
                Map.of("authorization", "Bearer " + TestConfiguration.callerKey(2)),
                body);
        w.request(intake, q, Duration.ofSeconds(5), a -> {
            String kind =
                    a.map(x -> FleetSimulation.json(x).path("kind").asText("")).orElse("");
            boolean ignored = wanted
                    ? kind.equals("unknown_lane")
                    : a.isPresent() && a.get().status() == 202;
            if (ignored && v.puts == puts) {
                w.seen.saw(
                        w.seen.ignored,
                        new Observations.ConfigurationNeeded(lane + " at " + intake, acknowledged, sent));
            }
        });
        w.sim.after(Duration.ofMillis(400), () -> probe(intake, lane, wanted, puts, acknowledged, until));
    }

    /** Two operators, one base: at most one is taken. */
    void race() {
        long base = v.version;
        v.put(withLane(v.configuration, "race" + n), base, "race-a" + n, a -> {});
        v.put(withLane(v.configuration, "other" + n), base, "race-b" + n, a -> {});
        n++;
    }

    /** A tenant is allowed more or less; back to the usual at the next. */
    void allowance() {
        int t = w.sim.random().nextInt(w.testConfiguration.tenants());
        boolean usual =
                v.configuration.tenants().get(TestConfiguration.tenant(t)).ratePerS() != w.testConfiguration.ratePerS();
        double rate =
                usual ? w.testConfiguration.ratePerS() : w.testConfiguration.ratePerS() * (w.sim.luck(0.5) ? 0.3 : 1.5);
        int burst = usual
                ? w.testConfiguration.burst()
                : (int) Math.max(1, w.testConfiguration.burst() * rate / w.testConfiguration.ratePerS());
        Duration sent = w.sim.now();
        v.put(Edit.tenant(v.configuration, TestConfiguration.tenant(t), rate, burst), v.version, "allow" + n++, a -> {
            if (a.status() == 200) {
                w.seen.allowed(TestConfiguration.tenant(t), new Observations.Limit(rate, burst, sent, w.sim.now()));
            }
        });
    }

    void rate() {
        String e = TestConfiguration.endpoint(w.sim.random().nextInt(w.testConfiguration.endpoints()));
        double rate = w.sim.luck(0.5)
                ? w.testConfiguration.endpointRate()
                : 10 + w.sim.random().nextInt(20);
        Duration sent = w.sim.now();
        v.put(Edit.services(v.configuration, m -> m.put(e, Edit.rate(m.get(e), rate))), v.version, "rate" + n++, a -> {
            if (a.status() == 200) {
                w.seen.paced(e, new Observations.Limit(rate, 0, sent, w.sim.now()));
            }
        });
    }

    void timeLimit() {
        String lane = w.sim.luck(0.5) ? "hold" : "accept";
        long limit = w.sim.luck(0.5) ? TestConfiguration.TIME_LIMIT_MS : 30000;
        w.seen.lane(lane, new Observations.LaneLimits(limit, TestConfiguration.ATTEMPTS));
        v.put(
                Edit.lanes(
                        v.configuration, m -> m.put(lane, Edit.limits(m.get(lane), limit, TestConfiguration.ATTEMPTS))),
                v.version,
                "limit" + n++,
                a -> {});
    }

    void bad() {
        Map<String, Configuration.Lane> lanes = new HashMap<>(v.configuration.lanes());
        lanes.put(
                "broken",
                new Configuration.Lane(
                        "nowhere", Configuration.Ordering.NONE, 30000, 5, 3000, Configuration.IfUnclear.FAIL));
        v.put(
                new Configuration(v.configuration.tenants(), v.configuration.services(), lanes, v.configuration.keys()),
                v.version,
                "bad" + n++,
                a -> {});
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

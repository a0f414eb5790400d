package org.woadvale.testkit.simulation;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.Edit;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/**
 * Two operators put configurations all day, racing, while control nodes die and come back; how long each yes or no
 * takes.
 */
public final class Day {
    private record Said(String id, byte[] configuration, long base, long version) {}

    private static final Duration DOWN = Duration.ofSeconds(5);
    private final FleetSimulation simulation;
    private final SimulatedFleet fleet;
    private final List<Long> millis = new ArrayList<>();
    private final List<Said> taken = new ArrayList<>();
    private final List<String> wrong = new ArrayList<>();
    private long lost;
    private long repeats;
    private long killed;
    private int n;

    public Day(long seed) throws ServiceException {
        simulation = new FleetSimulation(
                        seed, 2, 3, 2, new TestConfiguration(2, 1, 20, 30, 26), SimulatedFleet.SMALL_RING)
                .startAll();
        fleet = simulation.w;
    }

    /** Each operator changes something every so often; a control node goes down every so often. */
    public Day run(Duration length, Duration between, Duration kills) throws ServiceException {
        Duration end = fleet.sim.now().plus(length);
        operator("a", simulation.configuration, 1, between, end);
        operator("b", simulation.configuration, 1, between, end);
        Duration nextKill = fleet.sim.now().plus(kills);
        while (fleet.sim.now().compareTo(end) < 0) {
            fleet.sim.run(Duration.ofSeconds(10));
            simulation.read();
            fleet.seenVersions();
            if (fleet.sim.now().compareTo(nextKill) >= 0) {
                nextKill = fleet.sim.now().plus(kills);
                String l = fleet.controlNodes.get(fleet.sim.random().nextInt(3));
                fleet.host(l).powerLoss();
                killed++;
                fleet.sim.after(DOWN, () -> fleet.begin(l));
            }
        }
        fleet.sim.run(Duration.ofSeconds(30));
        return this;
    }

    private void operator(String who, Configuration known, long base, Duration between, Duration end) {
        Duration pause = between.plus(fleet.sim.between(0, between.toNanos() / 2000));
        fleet.sim.after(pause, () -> {
            if (fleet.sim.now().compareTo(end) >= 0) {
                return;
            }
            Configuration next = Edit.tenant(known, "spare" + who, 1 + n % 50, 5);
            String id = who + n++;
            put(id, Configurations.write(next), base, fleet.sim.now(), response -> {
                long version = response.status() == 200
                        ? Callers.json(response).path("version").asLong()
                        : present(response);
                // the one that lost goes on from what it reads
                reread(version, configuration -> operator(who, configuration, version, between, end));
                if (!taken.isEmpty() && fleet.sim.chance(0.2)) {
                    repeat(taken.get(fleet.sim.random().nextInt(taken.size())));
                }
            });
        });
    }

    private static long present(Response response) {
        return Callers.json(response).path("details").path(0).asLong();
    }

    private Request request(String id, byte[] json, long base) {
        return new Request("PUT", "/v1/layout", Map.of("if-match", Long.toString(base), "x-request-id", id), json);
    }

    private void put(String id, byte[] json, long base, Duration begun, Consumer<Response> then) {
        fleet.request(
                fleet.controlNodes.get(fleet.sim.random().nextInt(3)),
                request(id, json, base),
                Duration.ofSeconds(4),
                response -> {
                    if (response.isEmpty() || response.get().status() >= 500) {
                        fleet.sim.after(Duration.ofMillis(200), () -> put(id, json, base, begun, then));
                        return;
                    }
                    millis.add(fleet.sim.now().minus(begun).toMillis());
                    boolean yes = response.get().status() == 200;
                    lost += yes ? 0 : 1;
                    if (yes) {
                        long version =
                                Callers.json(response.get()).path("version").asLong();
                        taken.add(new Said(id, json, base, version));
                        fleet.seen.saw(
                                fleet.seen.configurations,
                                new Observations.ConfigurationSaid(
                                        id, version, true, true, fleet.sim.now(), digest(json)));
                    } else if (response.get().status() != 412) {
                        wrong.add(id + " was answered " + response.get().status());
                    }
                    then.accept(response.get());
                });
    }

    private static String digest(byte[] json) {
        return Configurations.sha256(new String(json, StandardCharsets.UTF_8));
    }

    /** However long ago: the first answer. */
    private void repeat(Said said) {
        fleet.request(
                fleet.controlNodes.get(fleet.sim.random().nextInt(3)),
                request(said.id(), said.configuration(), said.base()),
                Duration.ofSeconds(4),
                optional -> optional.filter(response -> response.status() < 500).ifPresent(response -> {
                    repeats++;
                    if (response.status() != 200
                            || Callers.json(response).path("version").asLong() != said.version()) {
                        wrong.add(said.id() + " was first " + said.version() + " and then " + response.status());
                    }
                }));
    }

    private void reread(long version, Consumer<Configuration> then) {
        fleet.request(
                fleet.controlNodes.get(fleet.sim.random().nextInt(3)),
                new Request("GET", "/v1/layout/" + version, Map.of(), new byte[0]),
                Duration.ofSeconds(4),
                optional -> {
                    Optional<Configuration> configuration = optional.filter(response -> response.status() == 200)
                            .flatMap(response -> {
                                try {
                                    return Optional.of(Configurations.parseAndValidate(response.body()));
                                } catch (ServiceException failure) {
                                    return Optional.empty();
                                }
                            });
                    configuration.ifPresentOrElse(
                            then, () -> fleet.sim.after(Duration.ofMillis(200), () -> reread(version, then)));
                });
    }

    public List<String> wrong() {
        List<String> out = new ArrayList<>(wrong);
        out.addAll(simulation.violations());
        return out;
    }

    public long repeats() {
        return repeats;
    }

    /** How long a share of the changes took at the most. */
    public long within(double share) {
        List<Long> sorted = millis.stream().sorted().toList();
        return sorted.get((int) Math.ceil(share * sorted.size()) - 1);
    }

    public int changes() {
        return millis.size();
    }

    @Override
    public String toString() {
        return changes() + " changes (" + lost + " lost a race), " + repeats + " repeats, " + killed
                + " power losses; ms to"
                + " a yes or no: half " + within(0.5) + ", 95 % " + within(0.95) + ", 99 % " + within(0.99) + ", all "
                + within(1)
                + "; wrong " + wrong().size();
    }

    /** day HOURS [SEED] */
    public static void main(String[] args) throws ServiceException {
        Day day = new Day(args.length > 1 ? Long.parseLong(args[1]) : 1)
                .run(
                        Duration.ofMinutes((long) (60 * Double.parseDouble(args[0]))),
                        Duration.ofSeconds(20),
                        Duration.ofMinutes(3));
        System.out.println(day);
        day.wrong().stream().limit(5).forEach(System.out::println);
        System.exit(day.wrong().isEmpty() ? 0 : 1);
    }
}

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
 * Two operators change the configuration all day and race each other while control nodes lose power and restart.
 * Measures how long it takes until a change is accepted or rejected.
 */
public final class Day {
    private record AcceptedChange(String id, byte[] configuration, long base, long version) {}

    private static final Duration DOWNTIME = Duration.ofSeconds(5);
    private final FleetSimulation simulation;
    private final SimulatedFleet fleet;
    private final List<Long> answerTimesMs = new ArrayList<>();
    private final List<AcceptedChange> acceptedChanges = new ArrayList<>();
    private final List<String> errors = new ArrayList<>();
    private long lostRaces;
    private long repeats;
    private long powerLosses;
    private int nextNumber;

    public Day(long seed) throws ServiceException {
        simulation = new FleetSimulation(
                        seed, 2, 3, 2, new TestConfiguration(2, 1, 20, 30, 26), SimulatedFleet.SMALL_RING)
                .startAll();
        fleet = simulation.fleet;
    }

    /**
     * Runs for the given length: each operator pauses {@code between} or up to half longer before a change, and every
     * {@code kills} one control node loses power.
     */
    public Day run(Duration length, Duration between, Duration kills) throws ServiceException {
        Duration end = fleet.sim.now().plus(length);
        operator("a", simulation.configuration, 1, between, end);
        operator("b", simulation.configuration, 1, between, end);
        Duration nextKill = fleet.sim.now().plus(kills);
        while (fleet.sim.now().compareTo(end) < 0) {
            fleet.sim.run(Duration.ofSeconds(10));
            simulation.read();
            fleet.recordConfigurationVersions();
            if (fleet.sim.now().compareTo(nextKill) >= 0) {
                nextKill = fleet.sim.now().plus(kills);
                String node = fleet.controlNodes.get(fleet.sim.random().nextInt(3));
                fleet.host(node).powerLoss();
                powerLosses++;
                fleet.sim.after(DOWNTIME, () -> fleet.begin(node));
            }
        }
        fleet.sim.run(Duration.ofSeconds(30));
        return this;
    }

    private void operator(String name, Configuration current, long base, Duration between, Duration end) {
        Duration pause = between.plus(fleet.sim.between(0, between.toNanos() / 2000));
        fleet.sim.after(pause, () -> {
            if (fleet.sim.now().compareTo(end) >= 0) {
                return;
            }
            Configuration next = Edit.tenant(current, "spare" + name, 1 + nextNumber % 50, 5);
            String id = name + nextNumber++;
            put(id, Configurations.write(next), base, fleet.sim.now(), response -> {
                long version = response.status() == 200
                        ? Callers.json(response).path("version").asLong()
                        : currentVersion(response);
                // an operator that lost the race continues from the version that it reads
                reread(version, configuration -> operator(name, configuration, version, between, end));
                if (!acceptedChanges.isEmpty() && fleet.sim.chance(0.2)) {
                    repeat(acceptedChanges.get(fleet.sim.random().nextInt(acceptedChanges.size())));
                }
            });
        });
    }

    private static long currentVersion(Response response) {
        return Callers.json(response).path("details").path(0).asLong();
    }

    private Request request(String id, byte[] json, long base) {
        return new Request("PUT", "/v1/layout", Map.of("if-match", Long.toString(base), "x-request-id", id), json);
    }

    private void put(String id, byte[] json, long base, Duration sent, Consumer<Response> then) {
        fleet.request(
                fleet.controlNodes.get(fleet.sim.random().nextInt(3)),
                request(id, json, base),
                Duration.ofSeconds(4),
                response -> {
                    if (response.isEmpty() || response.get().status() >= 500) {
                        fleet.sim.after(Duration.ofMillis(200), () -> put(id, json, base, sent, then));
                        return;
                    }
                    answerTimesMs.add(fleet.sim.now().minus(sent).toMillis());
                    boolean accepted = response.get().status() == 200;
                    lostRaces += accepted ? 0 : 1;
                    if (accepted) {
                        long version =
                                Callers.json(response.get()).path("version").asLong();
                        acceptedChanges.add(new AcceptedChange(id, json, base, version));
                        fleet.observations.append(
                                fleet.observations.configurations,
                                new Observations.ConfigurationAnswer(
                                        id, version, true, true, fleet.sim.now(), digest(json)));
                    } else if (response.get().status() != 412) {
                        errors.add(id + " was answered " + response.get().status());
                    }
                    then.accept(response.get());
                });
    }

    private static String digest(byte[] json) {
        return Configurations.sha256(new String(json, StandardCharsets.UTF_8));
    }

    /** Repeats an accepted change, which must get its first answer again however old it is. */
    private void repeat(AcceptedChange accepted) {
        fleet.request(
                fleet.controlNodes.get(fleet.sim.random().nextInt(3)),
                request(accepted.id(), accepted.configuration(), accepted.base()),
                Duration.ofSeconds(4),
                optional -> optional.filter(response -> response.status() < 500).ifPresent(response -> {
                    repeats++;
                    if (response.status() != 200
                            || Callers.json(response).path("version").asLong() != accepted.version()) {
                        errors.add(
                                accepted.id() + " was first " + accepted.version() + " and then " + response.status());
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

    public List<String> errors() {
        List<String> all = new ArrayList<>(errors);
        all.addAll(simulation.violations());
        return all;
    }

    public long repeats() {
        return repeats;
    }

    /** The time in ms within which the given share of the changes was answered. */
    public long percentileMillis(double share) {
        List<Long> sorted = answerTimesMs.stream().sorted().toList();
        return sorted.get((int) Math.ceil(share * sorted.size()) - 1);
    }

    public int changes() {
        return answerTimesMs.size();
    }

    @Override
    public String toString() {
        return changes() + " changes (" + lostRaces + " lost a race), " + repeats + " repeats, " + powerLosses
                + " power losses; ms until"
                + " answered: median " + percentileMillis(0.5) + ", 95 % " + percentileMillis(0.95) + ", 99 % "
                + percentileMillis(0.99) + ", max "
                + percentileMillis(1)
                + "; errors " + errors().size();
    }

    /** Arguments: HOURS [SEED]. */
    public static void main(String[] args) throws ServiceException {
        Day day = new Day(args.length > 1 ? Long.parseLong(args[1]) : 1)
                .run(
                        Duration.ofMinutes((long) (60 * Double.parseDouble(args[0]))),
                        Duration.ofSeconds(20),
                        Duration.ofMinutes(3));
        System.out.println(day);
        day.errors().stream().limit(5).forEach(System.out::println);
        System.exit(day.errors().isEmpty() ? 0 : 1);
    }
}

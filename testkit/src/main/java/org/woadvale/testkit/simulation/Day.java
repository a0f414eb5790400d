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
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.Edit;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** Two operators put configurations all day, racing, while control nodes die and come back; how long each yes or no takes. */
public final class Day {
    private record Said(String id, byte[] configuration, long base, long version) {}

    private static final Duration DOWN = Duration.ofSeconds(5);
    private final FleetSimulation v;
    private final World w;
    private final List<Long> millis = new ArrayList<>();
    private final List<Said> taken = new ArrayList<>();
    private final List<String> wrong = new ArrayList<>();
    private long lost;
    private long repeats;
    private long killed;
    private int n;

    public Day(long seed) throws ServiceException {
        v = new FleetSimulation(seed, 2, 3, 2, new TestConfiguration(2, 1, 20, 30, 26), World.SMALL_RING).embark();
        w = v.w;
    }

    /** Each operator changes something every so often; a control node goes down every so often. */
    public Day run(Duration length, Duration between, Duration kills) throws ServiceException {
        Duration end = w.sim.now().plus(length);
        operator("a", v.configuration, 1, between, end);
        operator("b", v.configuration, 1, between, end);
        Duration nextKill = w.sim.now().plus(kills);
        while (w.sim.now().compareTo(end) < 0) {
            w.sim.run(Duration.ofSeconds(10));
            v.read();
            w.seenVersions();
            if (w.sim.now().compareTo(nextKill) >= 0) {
                nextKill = w.sim.now().plus(kills);
                String l = w.lighthouses.get(w.sim.random().nextInt(3));
                w.host(l).powerLoss();
                killed++;
                w.sim.after(DOWN, () -> w.begin(l));
            }
        }
        w.sim.run(Duration.ofSeconds(30));
        return this;
    }

    private void operator(String who, Configuration known, long base, Duration between, Duration end) {
        Duration pause = between.plus(w.sim.between(0, between.toNanos() / 2000));
        w.sim.after(pause, () -> {
            if (w.sim.now().compareTo(end) >= 0) {
                return;
            }
            Configuration next = Edit.tenant(known, "spare" + who, 1 + n % 50, 5);
            String id = who + n++;
            put(id, Configurations.write(next), base, w.sim.now(), a -> {
                long version =
                        a.status() == 200 ? Callers.json(a).path("version").asLong() : present(a);
                // the one that lost goes on from what it reads
                reread(version, l -> operator(who, l, version, between, end));
                if (!taken.isEmpty() && w.sim.luck(0.2)) {
                    repeat(taken.get(w.sim.random().nextInt(taken.size())));
                }
            });
        });
    }

    private static long present(Response a) {
        return Callers.json(a).path("details").path(0).asLong();
    }

    private Request request(String id, byte[] json, long base) {
        return new Request("PUT", "/v1/layout", Map.of("if-match", Long.toString(base), "x-request-id", id), json);
    }

    private void put(String id, byte[] json, long base, Duration begun, Consumer<Response> then) {
        w.request(w.lighthouses.get(w.sim.random().nextInt(3)), request(id, json, base), Duration.ofSeconds(4), a -> {
            if (a.isEmpty() || a.get().status() >= 500) {
                w.sim.after(Duration.ofMillis(200), () -> put(id, json, base, begun, then));
                return;
            }
            millis.add(w.sim.now().minus(begun).toMillis());
            boolean yes = a.get().status() == 200;
            lost += yes ? 0 : 1;
            if (yes) {
                long version = Callers.json(a.get()).path("version").asLong();
                taken.add(new Said(id, json, base, version));
                w.seen.saw(
                        w.seen.configurations,
                        new Observations.ConfigurationSaid(id, version, true, true, w.sim.now(), digest(json)));
            } else if (a.get().status() != 412) {
                wrong.add(id + " was answered " + a.get().status());
            }
            then.accept(a.get());
        });
    }

    private static String digest(byte[] json) {
        return Configurations.sha256(new String(json, StandardCharsets.UTF_8));
    }

    /** However long ago: the first answer. */
    private void repeat(Said s) {
        w.request(
                w.lighthouses.get(w.sim.random().nextInt(3)),
                request(s.id(), s.configuration(), s.base()),
                Duration.ofSeconds(4),
                a -> a.filter(x -> x.status() < 500).ifPresent(x -> {
                    repeats++;
                    if (x.status() != 200 || Callers.json(x).path("version").asLong() != s.version()) {
                        wrong.add(s.id() + " was first " + s.version() + " and then " + x.status());
                    }
                }));
    }

    private void reread(long version, Consumer<Configuration> then) {
        w.request(
                w.lighthouses.get(w.sim.random().nextInt(3)),
                new Request("GET", "/v1/layout/" + version, Map.of(), new byte[0]),
                Duration.ofSeconds(4),
                a -> {
                    Optional<Configuration> l = a.filter(x -> x.status() == 200).flatMap(x -> {
                        try {
                            return Optional.of(Configurations.configuration(x.body()));
                        } catch (ServiceException e) {
                            return Optional.empty();
                        }
                    });
                    l.ifPresentOrElse(then, () -> w.sim.after(Duration.ofMillis(200), () -> reread(version, then)));
                });
    }

    public List<String> wrong() {
        List<String> out = new ArrayList<>(wrong);
        out.addAll(v.violations());
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
        Day d = new Day(args.length > 1 ? Long.parseLong(args[1]) : 1)
                .run(
                        Duration.ofMinutes((long) (60 * Double.parseDouble(args[0]))),
                        Duration.ofSeconds(20),
                        Duration.ofMinutes(3));
        System.out.println(d);
        d.wrong().stream().limit(5).forEach(System.out::println);
        System.exit(d.wrong().isEmpty() ? 0 : 1);
    }
}

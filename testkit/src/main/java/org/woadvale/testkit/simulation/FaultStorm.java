package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.BiConsumer;
import java.util.stream.LongStream;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.TestConfiguration;

/**
 * One seeded run with random failures, alone and together; a last one right at the end; then every message asked for.
 */
public final class FaultStorm {
    /** A fleet and its load. */
    public enum Size {
        SMALL(3, 0, 3, 4, 25, new TestConfiguration(3, 2, 20, 30, 26)),
        LANKAVIDYA(8, 3, 3, 8, 150, new TestConfiguration(8, 12, 45, 60, 26)),
        ROTTERDAM(7, 4, 4, 8, 150, new TestConfiguration(8, 12, 45, 60, 27));

        final int intakes;
        final int stores;
        final int zones;
        final int processors;
        final double perSecond;
        final TestConfiguration testConfiguration;

        Size(
                int intakes,
                int stores,
                int zones,
                int processors,
                double perSecond,
                TestConfiguration testConfiguration) {
            this.intakes = intakes;
            this.stores = stores;
            this.zones = zones;
            this.processors = processors;
            this.perSecond = perSecond;
            this.testConfiguration = testConfiguration;
        }

        /** The small fleet has three or four stores, by seed. */
        int stores(long seed) {
            return stores == 0 ? 3 + (int) (seed % 2) : stores;
        }
    }

    private final FleetSimulation simulation;
    private final SimulatedFleet fleet;
    private final Size size;
    private final Random random;
    private final Map<String, FaultInjection> faults = new LinkedHashMap<>();
    private final List<String> log = new ArrayList<>();

    public FaultStorm(long seed) throws ServiceException {
        this(seed, Size.SMALL);
    }

    public FaultStorm(long seed, Size size) throws ServiceException {
        this.size = size;
        random = new Random(seed * 31 + 7);
        simulation = new FleetSimulation(
                seed,
                size.intakes,
                size.stores(seed),
                size.processors,
                size.testConfiguration,
                size == Size.SMALL ? SimulatedFleet.SMALL_RING : SimulatedFleet.LARGE_RING,
                size.zones,
                FleetOverrides.none());
        fleet = simulation.w;
        simulation.watch();
        new MachineFaults(simulation, random, log).into(faults);
        new ProcessorFaults(simulation, random, seed % 4 == 3).into(faults);
    }

    private void strike(List<String> names) throws ServiceException {
        String name = names.get(random.nextInt(names.size()));
        log.add(fleet.sim.now().toMillis() + " " + name);
        faults.get(name).strike();
    }

    /** The violations seen; empty when all went well. */
    public List<String> run() throws ServiceException {
        return run(Duration.ofSeconds(25));
    }

    public List<String> run(Duration length) throws ServiceException {
        simulation.startAll();
        simulation.list("f2", false);
        simulation.list("f3", false);
        simulation.traffic(size.perSecond);
        List<String> names = List.copyOf(faults.keySet());
        Duration end = fleet.sim.now().plus(length);
        while (fleet.sim.now().compareTo(end) < 0) {
            fleet.sim.run(Duration.ofMillis(300 + random.nextInt(2500)));
            strike(names);
            simulation.read();
            fleet.seenVersions();
        }
        simulation.calm();
        strike(names);
        fleet.sim.run(Duration.ofSeconds(8));
        fleet.net.heal();
        fleet.net.setLossAndDuplication(0, 0);
        fleet.post.answerLoss(0);
        for (String h : fleet.all()) {
            fleet.restart(h);
        }
        fleet.sim.run(Duration.ofSeconds(3));
        simulation.read();
        List<String> out = new ArrayList<>();
        simulation.followWhatRan();
        if (!simulation.settle(Duration.ofSeconds(200))) {
            out.add("not ended: " + simulation.firstOpen());
        }
        out.addAll(simulation.violations());
        return out;
    }

    void watchAnswers(BiConsumer<Request, Response> watcher) {
        fleet.watchAnswers(watcher);
    }

    TraceDigest trace() {
        return fleet.sim.trace();
    }

    public List<String> log() {
        return log;
    }

    public Map<String, Long> kinds() {
        return simulation.kinds();
    }

    /** fault storm FROM TO [SIZE [SECONDS]]: a sweep over seeds; exits non-zero if any failed. */
    public static void main(String[] args) {
        long from = args.length > 0 ? Long.parseLong(args[0]) : 1;
        long to = args.length > 1 ? Long.parseLong(args[1]) : 20;
        Size size = args.length > 2 ? Size.valueOf(args[2].toUpperCase(Locale.ROOT)) : Size.SMALL;
        Duration length = Duration.ofSeconds(args.length > 3 ? Long.parseLong(args[3]) : 25);
        Map<Long, List<String>> failed = new ConcurrentSkipListMap<>();
        Map<String, Long> kinds = new TreeMap<>();
        Map<String, Long> struck = new TreeMap<>();
        LongStream.rangeClosed(from, to).parallel().forEach(seed -> {
            List<String> bad;
            try {
                FaultStorm storm = new FaultStorm(seed, size);
                bad = storm.run(length);
                synchronized (kinds) {
                    storm.kinds().forEach((k, n) -> kinds.merge(k, n, Long::sum));
                    storm.log().stream()
                            .filter(l -> Character.isDigit(l.charAt(0)))
                            .forEach(l -> struck.merge(l.substring(l.indexOf(' ') + 1), 1L, Long::sum));
                }
            } catch (ServiceException | RuntimeException e) {
                bad = List.of("threw " + e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : ""));
            }
            if (!bad.isEmpty()) {
                failed.put(seed, bad);
            }
        });
        failed.forEach((seed, bad) -> System.out.println(
                "seed " + seed + ": " + bad.size() + " " + bad.stream().limit(3).toList()));
        System.out.println("Hand-ins by answer: " + kinds);
        System.out.println("Blows: " + struck);
        System.out.println(size + " seeds " + from + ".." + to + ": " + failed.size() + " failed.");
        System.exit(failed.isEmpty() ? 0 : 1);
    }
}

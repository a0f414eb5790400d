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
 * A seeded run with random faults, single and overlapping, the last one right before the end. Then every message is
 * queried until it has ended.
 */
public final class FaultStorm {
    /** The size of a fleet and its load. */
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

        /** The number of stores; the small fleet has three or four, depending on the seed. */
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
        fleet = simulation.fleet;
        simulation.pollStatus();
        new MachineFaults(simulation, random, log).registerIn(faults);
        new ExternalFaults(simulation, random, seed % 4 == 3).into(faults);
    }

    private void injectRandom(List<String> names) throws ServiceException {
        String name = names.get(random.nextInt(names.size()));
        log.add(fleet.sim.now().toMillis() + " " + name);
        faults.get(name).inject();
    }

    /** Runs the storm and returns the violations found; empty if there are none. */
    public List<String> run() throws ServiceException {
        return run(Duration.ofSeconds(25));
    }

    public List<String> run(Duration length) throws ServiceException {
        simulation.startAll();
        simulation.putProcessor("f2", false);
        simulation.putProcessor("f3", false);
        simulation.traffic(size.perSecond);
        List<String> names = List.copyOf(faults.keySet());
        Duration end = fleet.sim.now().plus(length);
        while (fleet.sim.now().compareTo(end) < 0) {
            fleet.sim.run(Duration.ofMillis(300 + random.nextInt(2500)));
            injectRandom(names);
            simulation.read();
            fleet.recordConfigurationVersions();
        }
        simulation.stopTraffic();
        injectRandom(names);
        fleet.sim.run(Duration.ofSeconds(8));
        fleet.net.heal();
        fleet.net.setLossAndDuplication(0, 0);
        fleet.deliveryNetwork.answerLoss(0);
        for (String host : fleet.all()) {
            fleet.restart(host);
        }
        fleet.sim.run(Duration.ofSeconds(3));
        simulation.read();
        List<String> violations = new ArrayList<>();
        simulation.followExecuted();
        if (!simulation.settle(Duration.ofSeconds(200))) {
            violations.add("not ended: " + simulation.firstOpen());
        }
        violations.addAll(simulation.violations());
        return violations;
    }

    void watchAnswers(BiConsumer<Request, Response> watcher) {
        fleet.watchResponses(watcher);
    }

    TraceDigest trace() {
        return fleet.sim.trace();
    }

    public List<String> log() {
        return log;
    }

    public Map<String, Long> kinds() {
        return simulation.countsByOutcome();
    }

    /** Arguments: FROM TO [SIZE [SECONDS]]. Runs a range of seeds; exits non-zero if any failed. */
    public static void main(String[] args) {
        long from = args.length > 0 ? Long.parseLong(args[0]) : 1;
        long to = args.length > 1 ? Long.parseLong(args[1]) : 20;
        Size size = args.length > 2 ? Size.valueOf(args[2].toUpperCase(Locale.ROOT)) : Size.SMALL;
        Duration length = Duration.ofSeconds(args.length > 3 ? Long.parseLong(args[3]) : 25);
        Map<Long, List<String>> failed = new ConcurrentSkipListMap<>();
        Map<String, Long> answerCounts = new TreeMap<>();
        Map<String, Long> faultCounts = new TreeMap<>();
        LongStream.rangeClosed(from, to).parallel().forEach(seed -> {
            List<String> violations;
            try {
                FaultStorm storm = new FaultStorm(seed, size);
                violations = storm.run(length);
                synchronized (answerCounts) {
                    storm.kinds().forEach((answer, count) -> answerCounts.merge(answer, count, Long::sum));
                    storm.log().stream()
                            .filter(line -> Character.isDigit(line.charAt(0)))
                            .forEach(line -> faultCounts.merge(line.substring(line.indexOf(' ') + 1), 1L, Long::sum));
                }
            } catch (ServiceException | RuntimeException e) {
                violations =
                        List.of("threw " + e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : ""));
            }
            if (!violations.isEmpty()) {
                failed.put(seed, violations);
            }
        });
        failed.forEach((seed, violations) -> System.out.println("seed " + seed + ": " + violations.size() + " "
                + violations.stream().limit(3).toList()));
        System.out.println("Submissions by answer: " + answerCounts);
        System.out.println("Faults injected: " + faultCounts);
        System.out.println(size + " seeds " + from + ".." + to + ": " + failed.size() + " failed.");
        System.exit(failed.isEmpty() ? 0 : 1);
    }
}

package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.BiConsumer;
import java.util.stream.LongStream;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.ObservationLog;

/**
 * A seeded day on the platform's stand-in: planned work and unplanned trouble under traffic, then every message asked
 * for.
 */
public final class SeededPlatformDays {
    private static final Duration RECOVERY = Duration.ofMillis(4200);
    /** A planned stop, the start, and as long as the entry takes to see it. */
    private static final Duration ROLL = Duration.ofMillis(10_500);

    private final PlatformSimulation simulation;
    private final SimulatedPlatformFleet network;
    private final Random random;
    private final Map<String, Runnable> planned = new LinkedHashMap<>();
    private final Map<String, Runnable> unplanned = new LinkedHashMap<>();
    private final List<String> log = new ArrayList<>();
    /** Every third day has planned work only: what binds in calm times binds all day. */
    private final boolean calm;

    private Duration nextStop = Duration.ZERO;

    public SeededPlatformDays(long seed) throws ServiceException {
        this(seed, FleetOverrides.none());
    }

    public SeededPlatformDays(long seed, FleetOverrides seams) throws ServiceException {
        random = new Random(seed * 17 + 3);
        calm = seed % 3 == 0;
        simulation = new PlatformSimulation(seed, 3 + (int) (seed % 3), 3, seams);
        network = simulation.network;
        planned.put("change", simulation.operator::change);
        planned.put("race", simulation.operator::race);
        planned.put("bad", simulation.operator::bad);
        planned.put("keys", simulation.operator::keys);
        planned.put("leave", () -> simulation.leave(any(listed())));
        planned.put("stop", () -> stop(any(network.intakes)));
        planned.put("stop store", () -> stop(any(network.stores)));
        planned.put("read", simulation.operator::read);
        planned.put("repeat", simulation.operator::repeat);
        unplanned.put("kill", () -> kill(any(network.all())));
        unplanned.put("power", () -> power(any(network.all())));
        unplanned.put("freeze", () -> freeze(any(network.all())));
        unplanned.put("cut", () -> cut(any(network.all())));
        unplanned.put("crash", () -> simulation.crash(any(listed())));
        unplanned.put("crash puller", this::crashPuller);
        unplanned.put("rough", this::rough);
        unplanned.put("lost answers", () -> lostAnswers(0.3));
        unplanned.put("list down", this::listDown);
        unplanned.put("weather", this::weather);
        unplanned.put("all processors away", this::allAway);
    }

    private <T> T any(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    private List<ScriptedProcessor> listed() {
        return simulation.processors.values().stream()
                .filter(processor -> !processor.id().equals("far"))
                .toList();
    }

    private void trouble(String what, Duration length) {
        simulation.seen.troubles.add(new ObservationLog.Trouble(
                what, network.sim.now(), network.sim.now().plus(length)));
    }

    private void killed(String node) {
        simulation.seen.killed.add(new ObservationLog.Killed(node, network.sim.now()));
    }

    private void back(String node, Duration after) {
        network.sim.after(after, () -> {
            try {
                network.restart(node);
            } catch (ServiceException failure) {
                throw new IllegalStateException(failure);
            }
        });
    }

    private Duration away() {
        return Duration.ofMillis(300 + random.nextInt(3000));
    }

    private void kill(String node) {
        Duration away = away();
        trouble("kill " + node, away.plus(RECOVERY));
        killed(node);
        network.kill(node);
        back(node, away);
    }

    private void power(String node) {
        Duration away = away();
        trouble("power " + node, away.plus(RECOVERY));
        killed(node);
        network.host(node).powerLoss();
        back(node, away);
    }

    private void freeze(String node) {
        Duration d = away();
        trouble("freeze " + node, d.plus(RECOVERY));
        network.host(node).pause(d);
    }

    private void cut(String node) {
        Duration d = away();
        trouble("cut " + node, d.plus(RECOVERY));
        network.net.cutOff(node);
        network.sim.after(d, network.net::heal);
    }

    /** In order, one at a time: told to drain, no more offered, and ended once its time is over. */
    private void stop(String node) {
        if (network.sim.now().compareTo(nextStop) < 0
                || network.all().stream()
                        .anyMatch(
                                x -> !network.host(x).alive() || network.host(x).paused())) {
            return;
        }
        nextStop = network.sim.now().plus(ROLL);
        network.dataPlaneNode(node).drain();
        for (int ms = 200; ms < 2000; ms += 200) {
            network.sim.after(
                    Duration.ofMillis(ms), () -> network.dataPlaneNode(node).drain());
        }
        network.sim.after(Duration.ofMillis(5500), () -> {
            killed(node);
            network.kill(node);
        });
        back(node, Duration.ofMillis(6500));
    }

    private void crashPuller() {
        Puller old = any(List.copyOf(simulation.pullers.values()));
        simulation.pullers.values().remove(old);
        old.die();
        network.sim.after(Duration.ofMillis(500), simulation::puller);
    }

    private void rough() {
        simulation.processors.values().forEach(processor -> processor.behave(ProcessorHabits.rough()));
        simulation.pullers.values().forEach(puller -> puller.behave(ProcessorHabits.rough()));
        network.sim.after(Duration.ofSeconds(4), () -> {
            simulation.processors.values().forEach(processor -> processor.behave(ProcessorHabits.good()));
            simulation.pullers.values().forEach(puller -> puller.behave(ProcessorHabits.good()));
        });
    }

    private void lostAnswers(double share) {
        trouble("lost answers", Duration.ofSeconds(3));
        network.processorSimulation.answerLoss(share);
        network.sim.after(Duration.ofSeconds(3), () -> network.processorSimulation.answerLoss(0));
    }

    private void listDown() {
        trouble("list down", Duration.ofSeconds(4));
        simulation.processorList.down(true);
        network.sim.after(Duration.ofSeconds(4), () -> simulation.processorList.down(false));
    }

    private void weather() {
        trouble("weather", Duration.ofSeconds(3).plus(RECOVERY));
        network.net.setLossAndDuplication(0.05, 0.1);
        network.sim.after(Duration.ofSeconds(3), () -> network.net.setLossAndDuplication(0, 0));
    }

    private void allAway() {
        listed().stream()
                .filter(processor -> processor.service().equals("book"))
                .toList()
                .forEach(simulation::crash);
    }

    private void strike(Map<String, Runnable> from) {
        String name = any(List.copyOf(from.keySet()));
        log.add(network.sim.now().toMillis() + " " + name);
        from.get(name).run();
    }

    /** The broken rules; empty when all went well. */
    public List<String> run(Duration length) {
        simulation.startAll();
        simulation.clients.start(30);
        Duration end = network.sim.now().plus(length);
        while (network.sim.now().compareTo(end) < 0) {
            for (int i = random.nextInt(4); i >= 0; i--) {
                network.sim.run(Duration.ofMillis(200 + random.nextInt(1500)));
                strike(planned);
            }
            strike(calm ? planned : unplanned);
            network.sim.run(Duration.ofMillis(3000 + random.nextInt(7000)));
        }
        simulation.operator.read();
        strike(calm ? planned : unplanned);
        network.sim.run(Duration.ofSeconds(9));
        return simulation.end(Duration.ofSeconds(10));
    }

    void watchAnswers(BiConsumer<Request, Response> watcher) {
        network.watchAnswers(watcher);
    }

    TraceDigest trace() {
        return network.sim.trace();
    }

    public List<String> log() {
        return log;
    }

    public Map<Integer, Integer> answers() {
        return simulation.answers();
    }

    /** platform --seeds A..B [SECONDS]: a sweep over seeds; false if any rule was broken. */
    public static boolean sweep(String seeds, Duration length) {
        long from = Long.parseLong(seeds.substring(0, seeds.indexOf('.')));
        long to = Long.parseLong(seeds.substring(seeds.lastIndexOf('.') + 1));
        Map<Long, List<String>> failed = new ConcurrentSkipListMap<>();
        Map<Integer, Integer> answers = new TreeMap<>();
        LongStream.rangeClosed(from, to).parallel().forEach(seed -> {
            try {
                SeededPlatformDays day = new SeededPlatformDays(seed);
                List<String> bad = day.run(length);
                synchronized (answers) {
                    day.answers().forEach((k, n) -> answers.merge(k, n, Integer::sum));
                }
                if (!bad.isEmpty()) {
                    failed.put(seed, bad);
                }
            } catch (ServiceException | RuntimeException e) {
                failed.put(
                        seed,
                        List.of("threw " + e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "")));
            }
        });
        failed.forEach((seed, bad) -> System.out.println(
                "seed " + seed + ": " + bad.size() + " " + bad.stream().limit(3).toList()));
        System.out.println("Answers: " + answers);
        System.out.println("Seeds " + from + ".." + to + ": " + failed.size() + " with broken rules.");
        return failed.isEmpty();
    }
}

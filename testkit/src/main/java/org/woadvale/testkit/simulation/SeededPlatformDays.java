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
 * A seeded run on the simulated platform: planned changes and unplanned faults under traffic, after which every
 * accepted message is read.
 */
public final class SeededPlatformDays {
    private static final Duration RECOVERY_TIME = Duration.ofMillis(4200);
    /** Time for a planned stop, the restart, and the entry to notice that the node is ready. */
    private static final Duration STOP_INTERVAL = Duration.ofMillis(10_500);

    private final PlatformSimulation simulation;
    private final SimulatedPlatformFleet network;
    private final Random random;
    private final Map<String, Runnable> planned = new LinkedHashMap<>();
    private final Map<String, Runnable> unplanned = new LinkedHashMap<>();
    private final List<String> log = new ArrayList<>();
    /** Every third run has planned changes only, so that the rules for times without faults apply throughout. */
    private final boolean plannedOnly;

    private Duration nextStop = Duration.ZERO;

    public SeededPlatformDays(long seed) throws ServiceException {
        this(seed, FleetOverrides.none());
    }

    public SeededPlatformDays(long seed, FleetOverrides overrides) throws ServiceException {
        random = new Random(seed * 17 + 3);
        plannedOnly = seed % 3 == 0;
        simulation = new PlatformSimulation(seed, 3 + (int) (seed % 3), 3, overrides);
        network = simulation.network;
        planned.put("change", simulation.operator::change);
        planned.put("race", simulation.operator::race);
        planned.put("bad", simulation.operator::bad);
        planned.put("keys", simulation.operator::keys);
        planned.put("leave", () -> simulation.leave(pickOne(listed())));
        planned.put("stop", () -> plannedStop(pickOne(network.intakes)));
        planned.put("stop store", () -> plannedStop(pickOne(network.stores)));
        planned.put("stop core", () -> plannedStop(pickOne(network.controlNodes)));
        planned.put("read", simulation.operator::read);
        planned.put("repeat", simulation.operator::repeatUpdate);
        unplanned.put("kill", () -> kill(pickOne(network.all())));
        unplanned.put("power", () -> power(pickOne(network.all())));
        unplanned.put("freeze", () -> freeze(pickOne(network.all())));
        unplanned.put("cut", () -> cut(pickOne(network.all())));
        unplanned.put("crash", () -> simulation.crash(pickOne(listed())));
        unplanned.put("crash puller", this::crashPuller);
        unplanned.put("unreliable processors", this::unreliableProcessors);
        unplanned.put("lost answers", () -> lostAnswers(0.3));
        unplanned.put("list down", this::processorListDown);
        unplanned.put("loss and duplication", this::lossAndDuplication);
        unplanned.put("all processors crash", this::crashAllProcessors);
    }

    private <T> T pickOne(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    private List<ScriptedProcessor> listed() {
        return simulation.processors.values().stream()
                .filter(processor -> !processor.id().equals("far"))
                .toList();
    }

    private void recordTrouble(String fault, Duration length) {
        simulation.observations.troubles.add(new ObservationLog.Disruption(
                fault, network.sim.now(), network.sim.now().plus(length)));
    }

    private void recordKill(String node) {
        simulation.observations.killed.add(new ObservationLog.Killed(node, network.sim.now()));
    }

    private void restartAfter(String node, Duration delay) {
        network.sim.after(delay, () -> {
            try {
                network.restart(node);
            } catch (ServiceException failure) {
                throw new IllegalStateException(failure);
            }
        });
    }

    private Duration randomOutage() {
        return Duration.ofMillis(300 + random.nextInt(3000));
    }

    private void kill(String node) {
        Duration outage = randomOutage();
        recordTrouble("kill " + node, outage.plus(RECOVERY_TIME));
        recordKill(node);
        network.kill(node);
        restartAfter(node, outage);
    }

    private void power(String node) {
        Duration outage = randomOutage();
        recordTrouble("power " + node, outage.plus(RECOVERY_TIME));
        recordKill(node);
        network.host(node).powerLoss();
        restartAfter(node, outage);
    }

    private void freeze(String node) {
        Duration outage = randomOutage();
        recordTrouble("freeze " + node, outage.plus(RECOVERY_TIME));
        network.host(node).pause(outage);
    }

    private void cut(String node) {
        Duration outage = randomOutage();
        recordTrouble("cut " + node, outage.plus(RECOVERY_TIME));
        network.net.cutOff(node);
        network.sim.after(outage, network.net::heal);
    }

    /** Stops one node at a time as planned, and starts it again once the grace period is over. */
    private void plannedStop(String node) {
        if (network.sim.now().compareTo(nextStop) < 0
                || network.all().stream()
                        .anyMatch(other -> !network.host(other).alive()
                                || network.host(other).paused())) {
            return;
        }
        nextStop = network.sim.now().plus(STOP_INTERVAL);
        network.stopAsPlanned(node, () -> recordKill(node));
        restartAfter(node, Duration.ofMillis(6500));
    }

    private void crashPuller() {
        PullingProcessor crashed = pickOne(List.copyOf(simulation.pullers.values()));
        simulation.pullers.values().remove(crashed);
        crashed.crash();
        network.sim.after(Duration.ofMillis(500), simulation::puller);
    }

    private void unreliableProcessors() {
        simulation.processors.values().forEach(processor -> processor.behave(ProcessorBehavior.unreliable()));
        simulation.pullers.values().forEach(puller -> puller.behave(ProcessorBehavior.unreliable()));
        network.sim.after(Duration.ofSeconds(4), () -> {
            simulation.processors.values().forEach(processor -> processor.behave(ProcessorBehavior.reliable()));
            simulation.pullers.values().forEach(puller -> puller.behave(ProcessorBehavior.reliable()));
        });
    }

    private void lostAnswers(double probability) {
        recordTrouble("lost answers", Duration.ofSeconds(3));
        network.processorNetwork.answerLoss(probability);
        network.sim.after(Duration.ofSeconds(3), () -> network.processorNetwork.answerLoss(0));
    }

    private void processorListDown() {
        recordTrouble("list down", Duration.ofSeconds(4));
        simulation.processorList.setUnavailable(true);
        network.sim.after(Duration.ofSeconds(4), () -> simulation.processorList.setUnavailable(false));
    }

    private void lossAndDuplication() {
        recordTrouble("loss and duplication", Duration.ofSeconds(3).plus(RECOVERY_TIME));
        network.net.setLossAndDuplication(0.05, 0.1);
        network.sim.after(Duration.ofSeconds(3), () -> network.net.setLossAndDuplication(0, 0));
    }

    private void crashAllProcessors() {
        listed().stream()
                .filter(processor -> processor.service().equals("book"))
                .toList()
                .forEach(simulation::crash);
    }

    private void runRandom(Map<String, Runnable> actions) {
        String name = pickOne(List.copyOf(actions.keySet()));
        log.add(network.sim.now().toMillis() + " " + name);
        actions.get(name).run();
    }

    /** Runs for the given time; returns the violations, none if every rule held. */
    public List<String> run(Duration length) {
        simulation.startAll();
        simulation.clients.start(30);
        Duration end = network.sim.now().plus(length);
        while (network.sim.now().compareTo(end) < 0) {
            for (int i = random.nextInt(4); i >= 0; i--) {
                network.sim.run(Duration.ofMillis(200 + random.nextInt(1500)));
                runRandom(planned);
            }
            runRandom(plannedOnly ? planned : unplanned);
            network.sim.run(Duration.ofMillis(3000 + random.nextInt(7000)));
        }
        simulation.operator.read();
        runRandom(plannedOnly ? planned : unplanned);
        network.sim.run(Duration.ofSeconds(9));
        return simulation.end(Duration.ofSeconds(10));
    }

    void watchAnswers(BiConsumer<Request, Response> watcher) {
        network.watchResponses(watcher);
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

    /** {@code platform --seeds A..B [SECONDS]}: runs a range of seeds; false if any rule was broken. */
    public static boolean sweep(String seeds, Duration length) {
        long from = Long.parseLong(seeds.substring(0, seeds.indexOf('.')));
        long to = Long.parseLong(seeds.substring(seeds.lastIndexOf('.') + 1));
        Map<Long, List<String>> failed = new ConcurrentSkipListMap<>();
        Map<Integer, Integer> answers = new TreeMap<>();
        LongStream.rangeClosed(from, to).parallel().forEach(seed -> {
            try {
                SeededPlatformDays day = new SeededPlatformDays(seed);
                List<String> violations = day.run(length);
                synchronized (answers) {
                    day.answers().forEach((status, count) -> answers.merge(status, count, Integer::sum));
                }
                if (!violations.isEmpty()) {
                    failed.put(seed, violations);
                }
            } catch (ServiceException | RuntimeException e) {
                failed.put(
                        seed,
                        List.of("threw " + e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "")));
            }
        });
        failed.forEach((seed, violations) -> System.out.println("seed " + seed + ": " + violations.size() + " "
                + violations.stream().limit(3).toList()));
        System.out.println("Answers: " + answers);
        System.out.println("Seeds " + from + ".." + to + ": " + failed.size() + " with broken rules.");
        return failed.isEmpty();
    }
}

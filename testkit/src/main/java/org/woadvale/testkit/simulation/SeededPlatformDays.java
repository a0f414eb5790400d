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
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.ObservationLog;

/** A seeded day on the platform's stand-in: planned work and unplanned trouble under traffic, then every message asked for. */
public final class SeededPlatformDays {
    private static final Duration RECOVERY = Duration.ofMillis(4200);
    /** A planned stop, the start, and as long as the entry takes to see it. */
    private static final Duration ROLL = Duration.ofMillis(10_500);

    private final PlatformSimulation p;
    private final NetworkSimulation r;
    private final Random random;
    private final Map<String, Runnable> planned = new LinkedHashMap<>();
    private final Map<String, Runnable> unplanned = new LinkedHashMap<>();
    private final List<String> log = new ArrayList<>();
    /** Every third day has planned work only: what binds in calm times binds all day. */
    private final boolean calm;

    private Duration nextStop = Duration.ZERO;

    public SeededPlatformDays(long seed) throws ServiceException {
        this(seed, Seams.none());
    }

    public SeededPlatformDays(long seed, Seams seams) throws ServiceException {
        random = new Random(seed * 17 + 3);
        calm = seed % 3 == 0;
        p = new PlatformSimulation(seed, 3 + (int) (seed % 3), 3, seams);
        r = p.network;
        planned.put("change", p.operator::change);
        planned.put("race", p.operator::race);
        planned.put("bad", p.operator::bad);
        planned.put("keys", p.operator::keys);
        planned.put("leave", () -> p.leave(any(listed())));
        planned.put("stop", () -> stop(any(r.intakes)));
        planned.put("stop store", () -> stop(any(r.stores)));
        planned.put("read", p.operator::read);
        planned.put("repeat", p.operator::repeat);
        unplanned.put("kill", () -> kill(any(r.all())));
        unplanned.put("power", () -> power(any(r.all())));
        unplanned.put("freeze", () -> freeze(any(r.all())));
        unplanned.put("cut", () -> cut(any(r.all())));
        unplanned.put("crash", () -> p.crash(any(listed())));
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
        return p.processors.values().stream().filter(h -> !h.id().equals("far")).toList();
    }

    private void trouble(String what, Duration length) {
        p.seen.troubles.add(
                new ObservationLog.Trouble(what, r.sim.now(), r.sim.now().plus(length)));
    }

    private void killed(String node) {
        p.seen.killed.add(new ObservationLog.Killed(node, r.sim.now()));
    }

    private void back(String node, Duration after) {
        r.sim.after(after, () -> {
            try {
                r.restart(node);
            } catch (ServiceException e) {
                throw new IllegalStateException(e);
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
        r.kill(node);
        back(node, away);
    }

    private void power(String node) {
        Duration away = away();
        trouble("power " + node, away.plus(RECOVERY));
        killed(node);
        r.host(node).powerLoss();
        back(node, away);
    }

    private void freeze(String node) {
        Duration d = away();
        trouble("freeze " + node, d.plus(RECOVERY));
        r.host(node).pause(d);
    }

    private void cut(String node) {
        Duration d = away();
        trouble("cut " + node, d.plus(RECOVERY));
        r.net.cutOff(node);
        r.sim.after(d, r.net::heal);
    }

    /** In order, one at a time: told to drain, no more offered, and ended once its time is over. */
    private void stop(String node) {
        if (r.sim.now().compareTo(nextStop) < 0
                || r.all().stream()
                        .anyMatch(x -> !r.host(x).alive() || r.host(x).paused())) {
            return;
        }
        nextStop = r.sim.now().plus(ROLL);
        r.pilot(node).drain();
        for (int ms = 200; ms < 2000; ms += 200) {
            r.sim.after(Duration.ofMillis(ms), () -> r.pilot(node).drain());
        }
        r.sim.after(Duration.ofMillis(5500), () -> {
            killed(node);
            r.kill(node);
        });
        back(node, Duration.ofMillis(6500));
    }

    private void crashPuller() {
        Puller old = any(List.copyOf(p.pullers.values()));
        p.pullers.values().remove(old);
        old.die();
        r.sim.after(Duration.ofMillis(500), p::puller);
    }

    private void rough() {
        p.processors.values().forEach(h -> h.behave(ProcessorHabits.rough()));
        p.pullers.values().forEach(h -> h.behave(ProcessorHabits.rough()));
        r.sim.after(Duration.ofSeconds(4), () -> {
            p.processors.values().forEach(h -> h.behave(ProcessorHabits.good()));
            p.pullers.values().forEach(h -> h.behave(ProcessorHabits.good()));
        });
    }

    private void lostAnswers(double share) {
        trouble("lost answers", Duration.ofSeconds(3));
        r.processorSimulation.answerLoss(share);
        r.sim.after(Duration.ofSeconds(3), () -> r.processorSimulation.answerLoss(0));
    }

    private void listDown() {
        trouble("list down", Duration.ofSeconds(4));
        p.processorList.down(true);
        r.sim.after(Duration.ofSeconds(4), () -> p.processorList.down(false));
    }

    private void weather() {
        trouble("weather", Duration.ofSeconds(3).plus(RECOVERY));
        r.net.weather(0.05, 0.1);
        r.sim.after(Duration.ofSeconds(3), () -> r.net.weather(0, 0));
    }

    private void allAway() {
        listed().stream().filter(h -> h.service().equals("book")).toList().forEach(p::crash);
    }

    private void strike(Map<String, Runnable> from) {
        String name = any(List.copyOf(from.keySet()));
        log.add(r.sim.now().toMillis() + " " + name);
        from.get(name).run();
    }

    /** The broken rules; empty when all went well. */
    public List<String> run(Duration length) {
        p.embark();
        p.clients.start(30);
        Duration end = r.sim.now().plus(length);
        while (r.sim.now().compareTo(end) < 0) {
            for (int i = random.nextInt(4); i >= 0; i--) {
                r.sim.run(Duration.ofMillis(200 + random.nextInt(1500)));
                strike(planned);
            }
            strike(calm ? planned : unplanned);
            r.sim.run(Duration.ofMillis(3000 + random.nextInt(7000)));
        }
        p.operator.read();
        strike(calm ? planned : unplanned);
        r.sim.run(Duration.ofSeconds(9));
        return p.end(Duration.ofSeconds(10));
    }

    void watchAnswers(BiConsumer<Request, Response> watcher) {
        r.watchAnswers(watcher);
    }

    TraceDigest trace() {
        return r.sim.trace();
    }

    public List<String> log() {
        return log;
    }

    public Map<Integer, Integer> answers() {
        return p.answers();
    }

    /** platform --seeds A..B [SECONDS]: a sweep over seeds; false if any rule was broken. */
    public static boolean sweep(String seeds, Duration length) {
        long from = Long.parseLong(seeds.substring(0, seeds.indexOf('.')));
        long to = Long.parseLong(seeds.substring(seeds.lastIndexOf('.') + 1));
        Map<Long, List<String>> failed = new ConcurrentSkipListMap<>();
        Map<Integer, Integer> answers = new TreeMap<>();
        LongStream.rangeClosed(from, to).parallel().forEach(seed -> {
            try {
                SeededPlatformDays g = new SeededPlatformDays(seed);
                List<String> bad = g.run(length);
                synchronized (answers) {
                    g.answers().forEach((k, n) -> answers.merge(k, n, Integer::sum));
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

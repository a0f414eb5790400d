package org.woadvale.trials.squall;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.woadvale.foundation.lantern.Fault;
import org.woadvale.trials.buoy.Backend;

/** One seeded run with random failures, alone and together; ends healed, with every message asked for. */
public final class Storm {
    private interface Blow {
        void strike() throws Fault;
    }

    private static final Duration LENGTH = Duration.ofSeconds(25);
    private static final Duration CALM_AFTER_WIPE = Duration.ofSeconds(15);

    private final Voyage v;
    private final World w;
    private final Head head;
    private final Random random;
    private final Map<String, Blow> blows = new LinkedHashMap<>();
    private final List<String> log = new ArrayList<>();
    private Duration noWipeBefore;

    public Storm(long seed) throws Fault {
        random = new Random(seed * 31 + 7);
        v = new Voyage(seed, 3, 3 + (int) (seed % 2), 4);
        w = v.w;
        head = new Head(v);
        noWipeBefore = w.sim.now();
        blows.put("kill", this::kill);
        blows.put("power loss", this::powerLoss);
        blows.put("pause", this::pause);
        blows.put("cut off", this::cutOff);
        blows.put("one-way cut", this::oneWay);
        blows.put("lost disk", this::wipe);
        blows.put("bad weather", () -> w.net.weather(0.05, 0.02));
        blows.put("answers lost", () -> w.post.answerLoss(0.2));
        blows.put("back end down", this::backEndDown);
        blows.put("back end slow", this::backEndSlow);
        blows.put("flood", this::flood);
        blows.put("processor leaves", this::leave);
        blows.put("layout", head::change);
        blows.put("racing layouts", head::race);
        blows.put("bad layout", head::bad);
        blows.put("key withdrawn", head::withdraw);
        blows.put("hopeless jobs", this::hopeless);
        blows.put("drain", this::drain);
        blows.put("outage", this::outage);
    }

    private String any(List<String> from) {
        return from.get(random.nextInt(from.size()));
    }

    private Duration some() {
        return Duration.ofMillis(500 + random.nextInt(7000));
    }

    private void later(Duration d, Blow b) {
        w.sim.after(d, () -> {
            try {
                b.strike();
            } catch (Fault e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private void kill() {
        String h = any(w.all());
        log.add("kill " + h);
        w.kill(h);
        later(some(), () -> w.restart(h));
    }

    private void powerLoss() {
        String h = any(w.all());
        log.add("power " + h);
        w.host(h).powerLoss();
        later(some(), () -> w.restart(h));
    }

    private void pause() {
        w.host(any(w.all())).pause(some());
    }

    private void cutOff() {
        w.net.cutOff(any(w.all()));
        later(some(), w.net::heal);
    }

    private void oneWay() {
        w.net.cutOneWay(any(w.all()), any(w.all()));
        later(some(), w.net::heal);
    }

    /** One disk at a time, as the brief asks; the next only once repair had time. */
    private void wipe() {
        boolean allUp = w.all().stream().allMatch(h -> w.host(h).alive());
        if (w.sim.now().compareTo(noWipeBefore) < 0 || !allUp) {
            return;
        }
        noWipeBefore = w.sim.now().plus(CALM_AFTER_WIPE);
        String h = any(random.nextBoolean() ? w.stores : w.lighthouses);
        log.add("wipe " + h);
        w.kill(h);
        w.host(h).disk.wipe();
        later(some(), () -> w.restart(h));
    }

    private void backEndDown() {
        String b = any(List.copyOf(w.backends.keySet()));
        w.post.down(b, true);
        later(some(), () -> w.post.down(b, false));
    }

    private void backEndSlow() {
        Backend b = w.backends.get(any(List.copyOf(w.backends.keySet())));
        b.behave(new Backend.Manner(Duration.ofMillis(1500), 0, 0.2, 0.1));
        later(some(), () -> b.behave(Backend.Manner.good()));
    }

    private void hopeless() {
        Backend b = w.backends.get(any(List.copyOf(w.backends.keySet())));
        b.behave(new Backend.Manner(Duration.ofMillis(5), 0.5, 0.5, 0));
        later(some(), () -> b.behave(Backend.Manner.good()));
    }

    private void flood() {
        for (int i = 0; i < 150; i++) {
            later(Duration.ofMillis(random.nextInt(2000)), () -> v.one(0));
        }
    }

    private void leave() {
        String p = "p" + random.nextInt(2);
        v.list(p, true);
    }

    private void drain() {
        String h = any(w.stores);
        if (w.host(h).alive()) {
            w.pilot(h).drain();
            later(Duration.ofSeconds(2), () -> w.kill(h));
            later(Duration.ofSeconds(4), () -> w.restart(h));
        }
    }

    private void outage() {
        if (random.nextInt(3) > 0) {
            return;
        }
        log.add("outage");
        w.all().forEach(h -> w.host(h).powerLoss());
        later(Duration.ofMillis(500), () -> {
            for (String h : w.all()) {
                w.restart(h);
            }
        });
    }

    /** The violations seen; empty when all went well. */
    public List<String> run() throws Fault {
        v.embark();
        v.traffic(25);
        List<String> names = List.copyOf(blows.keySet());
        Duration end = w.sim.now().plus(LENGTH);
        while (w.sim.now().compareTo(end) < 0) {
            w.sim.run(Duration.ofMillis(300 + random.nextInt(2500)));
            String name = any(names);
            log.add(w.sim.now().toMillis() + " " + name);
            blows.get(name).strike();
            v.read();
        }
        v.calm();
        w.sim.run(Duration.ofSeconds(8));
        w.net.heal();
        w.net.weather(0, 0);
        w.post.answerLoss(0);
        for (String h : w.all()) {
            w.restart(h);
        }
        w.sim.run(Duration.ofSeconds(3));
        v.read();
        List<String> out = new ArrayList<>();
        if (!v.settle(Duration.ofSeconds(120))) {
            out.add("not ended: " + v.firstOpen());
        }
        out.addAll(v.violations());
        return out;
    }

    public List<String> log() {
        return log;
    }

    public Map<String, Long> kinds() {
        return v.kinds();
    }

    /** squall FROM TO: a sweep over seeds; exits non-zero if any failed. */
    public static void main(String[] args) throws Fault {
        long from = args.length > 0 ? Long.parseLong(args[0]) : 1;
        long to = args.length > 1 ? Long.parseLong(args[1]) : 20;
        Map<Long, List<String>> failed = new java.util.concurrent.ConcurrentSkipListMap<>();
        Map<String, Long> kinds = new TreeMap<>();
        java.util.stream.LongStream.rangeClosed(from, to).parallel().forEach(seed -> {
            List<String> bad;
            try {
                Storm s = new Storm(seed);
                bad = s.run();
                synchronized (kinds) {
                    s.kinds().forEach((k, n) -> kinds.merge(k, n, Long::sum));
                }
            } catch (Fault | RuntimeException e) {
                bad = List.of("threw " + e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : ""));
            }
            if (!bad.isEmpty()) {
                failed.put(seed, bad);
            }
        });
        failed.forEach((seed, bad) -> System.out.println("seed " + seed + ": " + bad.size() + " " + bad.stream().limit(3).toList()));
        System.out.println("Hand-ins by answer: " + kinds);
        System.out.println("Seeds " + from + ".." + to + ": " + failed.size() + " failed.");
        System.exit(failed.isEmpty() ? 0 : 1);
    }
}

package org.woadvale.testkit.cluster;

import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.woadvale.testkit.stub.Observations;

/** Failures on the real fleet, under traffic. */
final class Drills {
    private interface Drill {
        void run(Fleet f, StubEnvironment t, Load l) throws IOException;
    }

    /** What is to be set up before the fleet starts. */
    interface Before {
        void run(Fleet f) throws IOException;
    }

    private static final int RATE = 120;
    private static final Map<String, Drill> ALL = new LinkedHashMap<>();

    static {
        ALL.put("kill-store", (f, t, l) -> killOne(f.stores.get(0), t, l));
        ALL.put("kill-intake", (f, t, l) -> killOne(f.intakes.get(0), t, l));
        ALL.put("kill-lighthouse", (f, t, l) -> killOne(f.lighthouses.get(0), t, l));
        ALL.put("pause-store", (f, t, l) -> pauseOne(f.stores.get(0), l));
        ALL.put("pause-intake", (f, t, l) -> pauseOne(f.intakes.get(0), l));
        ALL.put("lose-disk", Drills::loseDisk);
        ALL.put("outage", Drills::outage);
        ALL.put("roll", Drills::roll);
        ALL.put("cut-intake", (f, t, l) -> cutOff(f.intakes.get(0), f, t, l));
        ALL.put("cut-store", (f, t, l) -> cutOff(f.stores.get(0), f, t, l));
        ALL.put("cut-lighthouse", (f, t, l) -> cutOff(f.lighthouses.get(0), f, t, l));
        ALL.put("hall-off", Drills::zoneOff);
        ALL.put("slow-endpoints", Drills::slowEndpoints);
        ALL.put("wrap", (f, t, l) -> l.run(Duration.ofSeconds(90), 270));
        ALL.put("upgrade", Drills::upgrade);
    }

    private static Relay.Cuts cuts = new Relay.Cuts();

    /** Relays for the cuts, a small ring to wrap, the older build to start with. */
    static Before before(String name) {
        return f -> {
            if (name.startsWith("cut-")) {
                cuts = f.relayed();
            } else if (name.equals("wrap")) {
                for (NodeProcess v : f.stores) {
                    v.boot("partMb", 1).boot("ringFileMb", 2).boot("ringFiles", 16);
                }
            } else if (name.equals("upgrade")) {
                f.all().forEach(v -> v.build(System.getProperty("older")));
            }
        };
    }

    /** All links of one process wait for 8 s; a key is withdrawn meanwhile and goes on being used there. */
    private static void cutOff(NodeProcess v, Fleet f, StubEnvironment t, Load l) throws IOException {
        t.putKey("short-lived", true);
        CompletableFuture<Void> traffic = traffic(l, 24);
        StubEnvironment.sleep(5000);
        f.all().stream().filter(o -> o != v).forEach(o -> cuts.cut(v.address, o.address));
        System.out.println("Cut " + v.name + " off.");
        t.putKey("short-lived", false);
        for (int i = 0; i < 32; i++) {
            l.use("short-lived", f.intakes.get(0));
            StubEnvironment.sleep(250);
        }
        cuts.heal();
        System.out.println("Healed.");
        traffic.join();
    }

    private static void zoneOff(Fleet f, StubEnvironment t, Load l) throws IOException {
        CompletableFuture<Void> traffic = traffic(l, 24);
        StubEnvironment.sleep(5000);
        java.util.List<NodeProcess> zone = f.inZone(0, t.shape);
        zone.forEach(NodeProcess::kill);
        System.out.println("Hall 0 is off: " + zone.stream().map(v -> v.name).toList());
        StubEnvironment.sleep(7000);
        for (NodeProcess v : zone) {
            v.start();
        }
        traffic.join();
    }

    private static void slowEndpoints(Fleet f, StubEnvironment t, Load l) {
        t.backends.forEach((id, b) -> {
            if (b.paced()) {
                b.behave(new org.woadvale.testkit.stub.Backend.Manner(Duration.ofMillis(1500), 0, 0, 0.05));
            }
        });
        l.run(Duration.ofSeconds(20), RATE);
    }

    /** -Dolder=JAR: the older build fills its folders, all stop, this build goes on with them. */
    private static void upgrade(Fleet f, StubEnvironment t, Load l) throws IOException {
        l.run(Duration.ofSeconds(10), RATE);
        f.killAll();
        f.all().forEach(v -> v.build(System.getProperty("java.class.path")));
        f.startAll();
        t.await(
                "readiness on the older folders",
                Duration.ofSeconds(60),
                () -> f.all().stream().allMatch(t::ready));
        System.out.println("This build goes on with the older one's folders.");
        l.run(Duration.ofSeconds(10), RATE);
    }

    private Drills() {}

    static Set<String> names() {
        return ALL.keySet();
    }

    static void run(String name, Fleet f, StubEnvironment t, Load l) throws IOException {
        if (!ALL.containsKey(name)) {
            throw new IllegalArgumentException("no drill " + name + "; there are " + names());
        }
        ALL.get(name).run(f, t, l);
    }

    private static CompletableFuture<Void> traffic(Load l, int seconds) {
        return CompletableFuture.runAsync(() -> l.run(Duration.ofSeconds(seconds), RATE));
    }

    private static void killOne(NodeProcess v, StubEnvironment t, Load l) throws IOException {
        CompletableFuture<Void> traffic = traffic(l, 20);
        StubEnvironment.sleep(5000);
        v.kill();
        System.out.println("Killed " + v.name + ".");
        StubEnvironment.sleep(7000);
        v.start();
        System.out.println("Started " + v.name + " again.");
        traffic.join();
    }

    private static void pauseOne(NodeProcess v, Load l) throws IOException {
        CompletableFuture<Void> traffic = traffic(l, 20);
        StubEnvironment.sleep(5000);
        v.signal("STOP");
        StubEnvironment.sleep(6000);
        v.signal("CONT");
        System.out.println("Paused " + v.name + " for 6 s.");
        traffic.join();
    }

    private static void loseDisk(Fleet f, StubEnvironment t, Load l) throws IOException {
        CompletableFuture<Void> traffic = traffic(l, 25);
        StubEnvironment.sleep(5000);
        f.stores.get(1).kill();
        f.stores.get(1).loseDisk();
        StubEnvironment.sleep(1000);
        f.stores.get(1).start();
        System.out.println("store1 came back with a blank disk.");
        StubEnvironment.sleep(9000);
        f.stores.get(0).kill();
        System.out.println("Killed store0: only store1 and the others hold what was accepted.");
        traffic.join();
        f.stores.get(0).start();
    }

    /** Everything is killed, everything is started; served means a submission was accepted. */
    private static void outage(Fleet f, StubEnvironment t, Load l) throws IOException {
        l.run(Duration.ofSeconds(5), RATE);
        f.killAll();
        Duration restarted = t.times.monotonicTime();
        f.startAll();
        t.await("service after the outage", Duration.ofSeconds(60), () -> {
            try {
                return l.one(0).join().said() == Observations.Said.ACCEPTED;
            } catch (java.util.concurrent.CompletionException e) {
                return false;
            }
        });
        Duration served = t.times.monotonicTime();
        t.seen.saw(t.seen.outages, new Observations.Outage(restarted, served));
        System.out.println("Served again after " + served.minus(restarted).toMillis() + " ms.");
        l.run(Duration.ofSeconds(5), RATE);
    }

    /** StateMachine by machine: stop in order, start again, wait until it is ready. */
    private static void roll(Fleet f, StubEnvironment t, Load l) throws IOException {
        CompletableFuture<Void> traffic = traffic(l, 60);
        for (NodeProcess v : f.all()) {
            v.stop();
            v.start();
            t.await(v.name + " to be ready", Duration.ofSeconds(30), () -> t.ready(v));
            StubEnvironment.sleep(1500);
        }
        System.out.println("Rolled " + f.all().size() + " processes.");
        traffic.join();
    }
}

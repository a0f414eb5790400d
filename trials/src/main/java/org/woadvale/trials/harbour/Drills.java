package org.woadvale.trials.harbour;

import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.woadvale.trials.buoy.Sightings;

/** Failures on the real fleet, under traffic. */
final class Drills {
    private interface Drill {
        void run(Fleet f, Town t, Load l) throws IOException;
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
    }

    private Drills() { }

    static Set<String> names() {
        return ALL.keySet();
    }

    static void run(String name, Fleet f, Town t, Load l) throws IOException {
        if (!ALL.containsKey(name)) {
            throw new IllegalArgumentException("no drill " + name + "; there are " + names());
        }
        ALL.get(name).run(f, t, l);
    }

    private static CompletableFuture<Void> traffic(Load l, int seconds) {
        return CompletableFuture.runAsync(() -> l.run(Duration.ofSeconds(seconds), RATE));
    }

    private static void killOne(Vessel v, Town t, Load l) throws IOException {
        CompletableFuture<Void> traffic = traffic(l, 20);
        Town.sleep(5000);
        v.kill();
        System.out.println("Killed " + v.name + ".");
        Town.sleep(7000);
        v.start();
        System.out.println("Started " + v.name + " again.");
        traffic.join();
    }

    private static void pauseOne(Vessel v, Load l) throws IOException {
        CompletableFuture<Void> traffic = traffic(l, 20);
        Town.sleep(5000);
        v.signal("STOP");
        Town.sleep(6000);
        v.signal("CONT");
        System.out.println("Paused " + v.name + " for 6 s.");
        traffic.join();
    }

    private static void loseDisk(Fleet f, Town t, Load l) throws IOException {
        CompletableFuture<Void> traffic = traffic(l, 25);
        Town.sleep(5000);
        f.stores.get(1).kill();
        f.stores.get(1).loseDisk();
        Town.sleep(1000);
        f.stores.get(1).start();
        System.out.println("store1 came back with a blank disk.");
        Town.sleep(9000);
        f.stores.get(0).kill();
        System.out.println("Killed store0: only store1 and the others hold what was accepted.");
        traffic.join();
        f.stores.get(0).start();
    }

    /** Everything is killed, everything is started; served means a hand-in was accepted. */
    private static void outage(Fleet f, Town t, Load l) throws IOException {
        l.run(Duration.ofSeconds(5), RATE);
        f.killAll();
        Duration restarted = t.times.mono();
        f.startAll();
        t.await("service after the outage", Duration.ofSeconds(60), () -> {
            try {
                return l.one(0).join().said() == Sightings.Said.ACCEPTED;
            } catch (java.util.concurrent.CompletionException e) {
                return false;
            }
        });
        Duration served = t.times.mono();
        t.seen.saw(t.seen.outages, new Sightings.Outage(restarted, served));
        System.out.println("Served again after " + served.minus(restarted).toMillis() + " ms.");
        l.run(Duration.ofSeconds(5), RATE);
    }

    /** Machine by machine: stop in order, start again, wait until it is ready. */
    private static void roll(Fleet f, Town t, Load l) throws IOException {
        CompletableFuture<Void> traffic = traffic(l, 60);
        for (Vessel v : f.all()) {
            v.stop();
            v.start();
            t.await(v.name + " to be ready", Duration.ofSeconds(30), () -> t.ready(v));
            Town.sleep(1500);
        }
        System.out.println("Rolled " + f.all().size() + " processes.");
        traffic.join();
    }
}

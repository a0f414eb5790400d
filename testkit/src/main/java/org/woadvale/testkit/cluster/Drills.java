package org.woadvale.testkit.cluster;

import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.woadvale.testkit.stub.Backend;
import org.woadvale.testkit.stub.Observations;

/** Failure drills: each injects a failure into a fleet of processes under traffic. */
final class Drills {
    private interface Drill {
        void run(Fleet fleet, StubEnvironment environment, Load load) throws IOException;
    }

    /** Set-up that must be done before the fleet starts. */
    interface Before {
        void run(Fleet fleet) throws IOException;
    }

    private static final int RATE = 120;
    private static final Map<String, Drill> DRILLS = new LinkedHashMap<>();

    static {
        DRILLS.put("kill-store", (fleet, environment, load) -> killAndRestart(fleet.stores.get(0), environment, load));
        DRILLS.put(
                "kill-intake", (fleet, environment, load) -> killAndRestart(fleet.intakes.get(0), environment, load));
        DRILLS.put(
                "kill-control-node",
                (fleet, environment, load) -> killAndRestart(fleet.controlNodes.get(0), environment, load));
        DRILLS.put("pause-store", (fleet, environment, load) -> pauseAndResume(fleet.stores.get(0), load));
        DRILLS.put("pause-intake", (fleet, environment, load) -> pauseAndResume(fleet.intakes.get(0), load));
        DRILLS.put("lose-disk", Drills::loseDisk);
        DRILLS.put("outage", Drills::outage);
        DRILLS.put("roll", Drills::roll);
        DRILLS.put("cut-intake", (fleet, environment, load) -> cutOff(fleet.intakes.get(0), fleet, environment, load));
        DRILLS.put("cut-store", (fleet, environment, load) -> cutOff(fleet.stores.get(0), fleet, environment, load));
        DRILLS.put(
                "cut-control-node",
                (fleet, environment, load) -> cutOff(fleet.controlNodes.get(0), fleet, environment, load));
        DRILLS.put("zone-off", Drills::zoneOff);
        DRILLS.put("slow-endpoints", Drills::slowEndpoints);
        DRILLS.put("wrap", (fleet, environment, load) -> load.run(Duration.ofSeconds(90), 270));
        DRILLS.put("upgrade", Drills::upgrade);
    }

    private static Relay.Cuts cuts = new Relay.Cuts();

    /** By drill: installs relays for the cuts, shrinks the ring so that it wraps, or selects the older build. */
    static Before before(String name) {
        return fleet -> {
            if (name.startsWith("cut-")) {
                cuts = fleet.relayed();
            } else if (name.equals("wrap")) {
                for (NodeProcess process : fleet.stores) {
                    process.boot("partMb", 1).boot("ringFileMb", 2).boot("ringFiles", 16);
                }
            } else if (name.equals("upgrade")) {
                fleet.all().forEach(process -> process.build(System.getProperty("older")));
            }
        };
    }

    /** Cuts all links of one process for 8 s, withdraws a key meanwhile and keeps using it at the first intake. */
    private static void cutOff(NodeProcess target, Fleet fleet, StubEnvironment environment, Load load)
            throws IOException {
        environment.putKey("short-lived", true);
        CompletableFuture<Void> traffic = traffic(load, 24);
        StubEnvironment.sleep(5000);
        fleet.all().stream()
                .filter(process -> process != target)
                .forEach(process -> cuts.cut(target.address, process.address));
        System.out.println("Isolated " + target.name + ".");
        environment.putKey("short-lived", false);
        for (int i = 0; i < 32; i++) {
            load.use("short-lived", fleet.intakes.get(0));
            StubEnvironment.sleep(250);
        }
        cuts.heal();
        System.out.println("Healed.");
        traffic.join();
    }

    private static void zoneOff(Fleet fleet, StubEnvironment environment, Load load) throws IOException {
        CompletableFuture<Void> traffic = traffic(load, 24);
        StubEnvironment.sleep(5000);
        List<NodeProcess> zone = fleet.inZone(0, environment.shape);
        zone.forEach(NodeProcess::kill);
        System.out.println("Killed all processes of zone 0: "
                + zone.stream().map(process -> process.name).toList());
        StubEnvironment.sleep(7000);
        for (NodeProcess process : zone) {
            process.start();
        }
        traffic.join();
    }

    private static void slowEndpoints(Fleet fleet, StubEnvironment environment, Load load) {
        environment.backends.forEach((id, backend) -> {
            if (backend.rateLimited()) {
                backend.setBehavior(new Backend.Behavior(Duration.ofMillis(1500), 0, 0, 0.05));
            }
        });
        load.run(Duration.ofSeconds(20), RATE);
    }

    /** The build given by {@code -Dolder=JAR} writes its data directories; this build then starts on them. */
    private static void upgrade(Fleet fleet, StubEnvironment environment, Load load) throws IOException {
        load.run(Duration.ofSeconds(10), RATE);
        fleet.killAll();
        fleet.all().forEach(process -> process.build(System.getProperty("java.class.path")));
        fleet.startAll();
        environment.await(
                "readiness on the older build's data directories",
                Duration.ofSeconds(60),
                () -> fleet.all().stream().allMatch(environment::ready));
        System.out.println("This build now runs on the older build's data directories.");
        load.run(Duration.ofSeconds(10), RATE);
    }

    private Drills() {}

    static Set<String> names() {
        return DRILLS.keySet();
    }

    static void run(String name, Fleet fleet, StubEnvironment environment, Load load) throws IOException {
        if (!DRILLS.containsKey(name)) {
            throw new IllegalArgumentException("unknown drill " + name + "; the drills are " + names());
        }
        DRILLS.get(name).run(fleet, environment, load);
    }

    private static CompletableFuture<Void> traffic(Load load, int seconds) {
        return CompletableFuture.runAsync(() -> load.run(Duration.ofSeconds(seconds), RATE));
    }

    private static void killAndRestart(NodeProcess process, StubEnvironment environment, Load load) throws IOException {
        CompletableFuture<Void> traffic = traffic(load, 20);
        StubEnvironment.sleep(5000);
        process.kill();
        System.out.println("Killed " + process.name + ".");
        StubEnvironment.sleep(7000);
        process.start();
        System.out.println("Started " + process.name + " again.");
        traffic.join();
    }

    private static void pauseAndResume(NodeProcess process, Load load) throws IOException {
        CompletableFuture<Void> traffic = traffic(load, 20);
        StubEnvironment.sleep(5000);
        process.signal("STOP");
        StubEnvironment.sleep(6000);
        process.signal("CONT");
        System.out.println("Paused " + process.name + " for 6 s.");
        traffic.join();
    }

    private static void loseDisk(Fleet fleet, StubEnvironment environment, Load load) throws IOException {
        CompletableFuture<Void> traffic = traffic(load, 25);
        StubEnvironment.sleep(5000);
        fleet.stores.get(1).kill();
        fleet.stores.get(1).loseDisk();
        StubEnvironment.sleep(1000);
        fleet.stores.get(1).start();
        System.out.println("Restarted store1 with an empty disk.");
        StubEnvironment.sleep(9000);
        fleet.stores.get(0).kill();
        System.out.println("Killed store0; only store1 and the remaining stores hold the accepted messages.");
        traffic.join();
        fleet.stores.get(0).start();
    }

    /** Kills and restarts all processes; service has resumed once a submission is accepted. */
    private static void outage(Fleet fleet, StubEnvironment environment, Load load) throws IOException {
        load.run(Duration.ofSeconds(5), RATE);
        fleet.killAll();
        Duration restarted = environment.times.monotonicTime();
        fleet.startAll();
        environment.await("service after the outage", Duration.ofSeconds(60), () -> {
            try {
                return load.submitRandom(0).join().outcome() == Observations.SubmissionOutcome.ACCEPTED;
            } catch (CompletionException e) {
                return false;
            }
        });
        Duration served = environment.times.monotonicTime();
        environment.observations.append(environment.observations.outages, new Observations.Outage(restarted, served));
        System.out.println("Served again after " + served.minus(restarted).toMillis() + " ms.");
        load.run(Duration.ofSeconds(5), RATE);
    }

    /** Rolling restart: stops, starts and awaits the readiness of one process at a time. */
    private static void roll(Fleet fleet, StubEnvironment environment, Load load) throws IOException {
        CompletableFuture<Void> traffic = traffic(load, 60);
        for (NodeProcess process : fleet.all()) {
            process.stop();
            process.start();
            environment.await(process.name + " to be ready", Duration.ofSeconds(30), () -> environment.ready(process));
            StubEnvironment.sleep(1500);
        }
        System.out.println("Restarted " + fleet.all().size() + " processes one at a time.");
        traffic.join();
    }
}

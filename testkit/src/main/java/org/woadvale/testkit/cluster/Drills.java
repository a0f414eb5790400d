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

/** Failures on the real fleet, under traffic. */
final class Drills {
    private interface Drill {
        void run(Fleet fleet, StubEnvironment environment, Load load) throws IOException;
    }

    /** What is to be set up before the fleet starts. */
    interface Before {
        void run(Fleet fleet) throws IOException;
    }

    private static final int RATE = 120;
    private static final Map<String, Drill> ALL = new LinkedHashMap<>();

    static {
        ALL.put("kill-store", (fleet, environment, load) -> killOne(fleet.stores.get(0), environment, load));
        ALL.put("kill-intake", (fleet, environment, load) -> killOne(fleet.intakes.get(0), environment, load));
        ALL.put(
                "kill-control-node",
                (fleet, environment, load) -> killOne(fleet.controlNodes.get(0), environment, load));
        ALL.put("pause-store", (fleet, environment, load) -> pauseOne(fleet.stores.get(0), load));
        ALL.put("pause-intake", (fleet, environment, load) -> pauseOne(fleet.intakes.get(0), load));
        ALL.put("lose-disk", Drills::loseDisk);
        ALL.put("outage", Drills::outage);
        ALL.put("roll", Drills::roll);
        ALL.put("cut-intake", (fleet, environment, load) -> cutOff(fleet.intakes.get(0), fleet, environment, load));
        ALL.put("cut-store", (fleet, environment, load) -> cutOff(fleet.stores.get(0), fleet, environment, load));
        ALL.put(
                "cut-control-node",
                (fleet, environment, load) -> cutOff(fleet.controlNodes.get(0), fleet, environment, load));
        ALL.put("zone-off", Drills::zoneOff);
        ALL.put("slow-endpoints", Drills::slowEndpoints);
        ALL.put("wrap", (fleet, environment, load) -> load.run(Duration.ofSeconds(90), 270));
        ALL.put("upgrade", Drills::upgrade);
    }

    private static Relay.Cuts cuts = new Relay.Cuts();

    /** Relays for the cuts, a small ring to wrap, the older build to start with. */
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

    /** All links of one process wait for 8 s; a key is withdrawn meanwhile and goes on being used there. */
    private static void cutOff(NodeProcess nodeProcess, Fleet fleet, StubEnvironment environment, Load load)
            throws IOException {
        environment.putKey("short-lived", true);
        CompletableFuture<Void> traffic = traffic(load, 24);
        StubEnvironment.sleep(5000);
        fleet.all().stream()
                .filter(process -> process != nodeProcess)
                .forEach(process -> cuts.cut(nodeProcess.address, process.address));
        System.out.println("Cut " + nodeProcess.name + " off.");
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
        System.out.println(
                "Hall 0 is off: " + zone.stream().map(process -> process.name).toList());
        StubEnvironment.sleep(7000);
        for (NodeProcess process : zone) {
            process.start();
        }
        traffic.join();
    }

    private static void slowEndpoints(Fleet fleet, StubEnvironment environment, Load load) {
        environment.backends.forEach((id, backend) -> {
            if (backend.paced()) {
                backend.behave(new Backend.Manner(Duration.ofMillis(1500), 0, 0, 0.05));
            }
        });
        load.run(Duration.ofSeconds(20), RATE);
    }

    /** -Dolder=JAR: the older build fills its folders, all stop, this build goes on with them. */
    private static void upgrade(Fleet fleet, StubEnvironment environment, Load load) throws IOException {
        load.run(Duration.ofSeconds(10), RATE);
        fleet.killAll();
        fleet.all().forEach(process -> process.build(System.getProperty("java.class.path")));
        fleet.startAll();
        environment.await(
                "readiness on the older folders",
                Duration.ofSeconds(60),
                () -> fleet.all().stream().allMatch(environment::ready));
        System.out.println("This build goes on with the older one's folders.");
        load.run(Duration.ofSeconds(10), RATE);
    }

    private Drills() {}

    static Set<String> names() {
        return ALL.keySet();
    }

    static void run(String name, Fleet fleet, StubEnvironment environment, Load load) throws IOException {
        if (!ALL.containsKey(name)) {
            throw new IllegalArgumentException("no drill " + name + "; there are " + names());
        }
        ALL.get(name).run(fleet, environment, load);
    }

    private static CompletableFuture<Void> traffic(Load load, int seconds) {
        return CompletableFuture.runAsync(() -> load.run(Duration.ofSeconds(seconds), RATE));
    }

    private static void killOne(NodeProcess process, StubEnvironment environment, Load load) throws IOException {
        CompletableFuture<Void> traffic = traffic(load, 20);
        StubEnvironment.sleep(5000);
        process.kill();
        System.out.println("Killed " + process.name + ".");
        StubEnvironment.sleep(7000);
        process.start();
        System.out.println("Started " + process.name + " again.");
        traffic.join();
    }

    private static void pauseOne(NodeProcess process, Load load) throws IOException {
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
        System.out.println("store1 came back with a blank disk.");
        StubEnvironment.sleep(9000);
        fleet.stores.get(0).kill();
        System.out.println("Killed store0: only store1 and the others hold what was accepted.");
        traffic.join();
        fleet.stores.get(0).start();
    }

    /** Everything is killed, everything is started; served means a submission was accepted. */
    private static void outage(Fleet fleet, StubEnvironment environment, Load load) throws IOException {
        load.run(Duration.ofSeconds(5), RATE);
        fleet.killAll();
        Duration restarted = environment.times.monotonicTime();
        fleet.startAll();
        environment.await("service after the outage", Duration.ofSeconds(60), () -> {
            try {
                return load.one(0).join().said() == Observations.Said.ACCEPTED;
            } catch (CompletionException e) {
                return false;
            }
        });
        Duration served = environment.times.monotonicTime();
        environment.seen.saw(environment.seen.outages, new Observations.Outage(restarted, served));
        System.out.println("Served again after " + served.minus(restarted).toMillis() + " ms.");
        load.run(Duration.ofSeconds(5), RATE);
    }

    /** StateMachine by machine: stop in order, start again, wait until it is ready. */
    private static void roll(Fleet fleet, StubEnvironment environment, Load load) throws IOException {
        CompletableFuture<Void> traffic = traffic(load, 60);
        for (NodeProcess process : fleet.all()) {
            process.stop();
            process.start();
            environment.await(process.name + " to be ready", Duration.ofSeconds(30), () -> environment.ready(process));
            StubEnvironment.sleep(1500);
        }
        System.out.println("Rolled " + fleet.all().size() + " processes.");
        traffic.join();
    }
}

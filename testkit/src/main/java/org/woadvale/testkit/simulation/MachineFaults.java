package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.http.Request;
import org.woadvale.common.runtime.ServiceException;

/** What fails of the system itself: machines, disks, links. */
final class MachineFaults {
    private static final Duration CALM_AFTER_LOSS = Duration.ofSeconds(15);
    private static final Duration CALM_AFTER_REPLACEMENT = Duration.ofSeconds(40);
    private final FleetSimulation v;
    private final World w;
    private final Random random;
    private final List<String> log;
    private Duration noLossBefore;

    MachineFaults(FleetSimulation v, Random random, List<String> log) {
        this.v = v;
        this.w = v.w;
        this.random = random;
        this.log = log;
        this.noLossBefore = w.sim.now();
    }

    void into(Map<String, FaultInjection> faults) {
        faults.put("kill", this::kill);
        faults.put("power loss", this::powerLoss);
        faults.put("pause", this::pause);
        faults.put("cut off", this::cutOff);
        faults.put("one-way cut", () -> healing(() -> w.net.cutOneWay(any(w.all()), any(w.all()))));
        faults.put("stalled streams", () -> healing(() -> w.net.stall(any(w.intakes), any(w.stores))));
        faults.put("bad weather", () -> w.net.weather(0.05, 0.02));
        faults.put("lost disk", this::wipe);
        faults.put("store lost for good", this::loseStore);
        faults.put("lighthouse lost for good", this::loseLighthouse);
        faults.put("drain", () -> drain(any(w.stores)));
        faults.put("holder drained", () -> drain(any(w.intakes)));
        faults.put("stores in turn", this::inTurn);
        faults.put("hall off", this::zoneOff);
        faults.put("outage", this::outage);
    }

    private String any(List<String> from) {
        return from.get(random.nextInt(from.size()));
    }

    private Duration some() {
        return Duration.ofMillis(500 + random.nextInt(7000));
    }

    private void later(Duration d, FaultInjection b) {
        w.sim.after(d, () -> {
            try {
                b.strike();
            } catch (ServiceException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private void healing(FaultInjection b) throws ServiceException {
        b.strike();
        later(some(), w.net::heal);
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

    private void cutOff() throws ServiceException {
        healing(() -> w.net.cutOff(any(w.all())));
    }

    /** One disk at a time, as the brief asks; the next only once repair had time. */
    private boolean mayLose(Duration calm) {
        boolean may = w.sim.now().compareTo(noLossBefore) >= 0 && w.repaired();
        if (may) {
            noLossBefore = w.sim.now().plus(calm);
        }
        return may;
    }

    private void wipe() {
        if (mayLose(CALM_AFTER_LOSS)) {
            String h = any(random.nextBoolean() ? w.presentStores() : w.presentLighthouses());
            log.add("wipe " + h);
            w.kill(h);
            w.host(h).disk.wipe();
            later(some(), () -> w.restart(h));
        }
    }

    private void loseStore() {
        if (mayLose(CALM_AFTER_REPLACEMENT)) {
            String h = any(w.presentStores());
            log.add("lost " + h);
            w.lose(h);
            later(some(), w::newStore);
        }
    }

    private void loseLighthouse() {
        if (mayLose(CALM_AFTER_REPLACEMENT)) {
            String h = any(w.presentLighthouses());
            log.add("lost " + h);
            w.lose(h);
            later(some(), () -> {
                String fresh = w.newLighthouse();
                v.operate(
                        new Request(
                                "PUT",
                                "/v1/core",
                                Map.of(),
                                Configurations.write(Map.of("lighthouses", w.presentLighthouses()))),
                        a -> log.add("core " + a.status() + " with " + fresh));
            });
        }
    }

    private void drain(String h) {
        if (w.host(h).alive()) {
            w.pilot(h).drain();
            later(Duration.ofSeconds(2), () -> w.kill(h));
            later(Duration.ofSeconds(4), () -> w.restart(h));
        }
    }

    private void inTurn() {
        List<String> stores = w.presentStores();
        for (int i = 0; i < stores.size(); i++) {
            String s = stores.get(i);
            later(Duration.ofSeconds(6L * i), () -> drain(s));
        }
    }

    /** All machines of a zone lose power together and come back together. */
    private void zoneOff() {
        String zone = w.zone(any(w.all()));
        List<String> there =
                w.all().stream().filter(h -> w.zone(h).equals(zone)).toList();
        log.add("off " + zone);
        there.forEach(h -> w.host(h).powerLoss());
        later(some(), () -> {
            for (String h : there) {
                w.restart(h);
            }
        });
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
}

package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;

/** What fails of the system itself: machines, disks, links. */
final class MachineFaults {
    private static final Duration CALM_AFTER_LOSS = Duration.ofSeconds(15);
    private static final Duration CALM_AFTER_REPLACEMENT = Duration.ofSeconds(40);
    private final FleetSimulation simulation;
    private final SimulatedFleet fleet;
    private final Random random;
    private final List<String> log;
    private Duration noLossBefore;

    MachineFaults(FleetSimulation simulation, Random random, List<String> log) {
        this.simulation = simulation;
        this.fleet = simulation.w;
        this.random = random;
        this.log = log;
        this.noLossBefore = fleet.sim.now();
    }

    void into(Map<String, FaultInjection> faults) {
        faults.put("kill", this::kill);
        faults.put("power loss", this::powerLoss);
        faults.put("pause", this::pause);
        faults.put("cut off", this::cutOff);
        faults.put("one-way cut", () -> healing(() -> fleet.net.cutOneWay(any(fleet.all()), any(fleet.all()))));
        faults.put("stalled streams", () -> healing(() -> fleet.net.stall(any(fleet.intakes), any(fleet.stores))));
        faults.put("bad weather", () -> fleet.net.setLossAndDuplication(0.05, 0.02));
        faults.put("lost disk", this::wipe);
        faults.put("store lost for good", this::loseStore);
        faults.put("control node lost for good", this::loseControlNode);
        faults.put("drain", () -> drain(any(fleet.stores)));
        faults.put("holder drained", () -> drain(any(fleet.intakes)));
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

    private void later(Duration d, FaultInjection faultInjection) {
        fleet.sim.after(d, () -> {
            try {
                faultInjection.strike();
            } catch (ServiceException failure) {
                throw new IllegalStateException(failure);
            }
        });
    }

    private void healing(FaultInjection faultInjection) throws ServiceException {
        faultInjection.strike();
        later(some(), fleet.net::heal);
    }

    private void kill() {
        String h = any(fleet.all());
        log.add("kill " + h);
        fleet.kill(h);
        later(some(), () -> fleet.restart(h));
    }

    private void powerLoss() {
        String h = any(fleet.all());
        log.add("power " + h);
        fleet.host(h).powerLoss();
        later(some(), () -> fleet.restart(h));
    }

    private void pause() {
        fleet.host(any(fleet.all())).pause(some());
    }

    private void cutOff() throws ServiceException {
        healing(() -> fleet.net.cutOff(any(fleet.all())));
    }

    /** One disk at a time, as the brief asks; the next only once repair had time. */
    private boolean mayLose(Duration calm) {
        boolean may = fleet.sim.now().compareTo(noLossBefore) >= 0 && fleet.repaired();
        if (may) {
            noLossBefore = fleet.sim.now().plus(calm);
        }
        return may;
    }

    private void wipe() {
        if (mayLose(CALM_AFTER_LOSS)) {
            String h = any(random.nextBoolean() ? fleet.presentStores() : fleet.presentControlNodes());
            log.add("wipe " + h);
            fleet.kill(h);
            fleet.host(h).disk.wipe();
            later(some(), () -> fleet.restart(h));
        }
    }

    private void loseStore() {
        if (mayLose(CALM_AFTER_REPLACEMENT)) {
            String h = any(fleet.presentStores());
            log.add("lost " + h);
            fleet.lose(h);
            later(some(), fleet::newStore);
        }
    }

    private void loseControlNode() {
        if (mayLose(CALM_AFTER_REPLACEMENT)) {
            String h = any(fleet.presentControlNodes());
            log.add("lost " + h);
            fleet.lose(h);
            later(some(), () -> {
                String fresh = fleet.newControlNodeFirstSettings();
                simulation.operate(
                        new Request(
                                "PUT",
                                "/v1/core",
                                Map.of(),
                                Configurations.write(Map.of("lighthouses", fleet.presentControlNodes()))),
                        response -> log.add("core " + response.status() + " with " + fresh));
            });
        }
    }

    private void drain(String h) {
        if (fleet.host(h).alive()) {
            fleet.dataPlaneNode(h).drain();
            later(Duration.ofSeconds(2), () -> fleet.kill(h));
            later(Duration.ofSeconds(4), () -> fleet.restart(h));
        }
    }

    private void inTurn() {
        List<String> stores = fleet.presentStores();
        for (int i = 0; i < stores.size(); i++) {
            String s = stores.get(i);
            later(Duration.ofSeconds(6L * i), () -> drain(s));
        }
    }

    /** All machines of a zone lose power together and come back together. */
    private void zoneOff() {
        String zone = fleet.zone(any(fleet.all()));
        List<String> there =
                fleet.all().stream().filter(h -> fleet.zone(h).equals(zone)).toList();
        log.add("off " + zone);
        there.forEach(h -> fleet.host(h).powerLoss());
        later(some(), () -> {
            for (String h : there) {
                fleet.restart(h);
            }
        });
    }

    private void outage() {
        if (random.nextInt(3) > 0) {
            return;
        }
        log.add("outage");
        fleet.all().forEach(h -> fleet.host(h).powerLoss());
        later(Duration.ofMillis(500), () -> {
            for (String h : fleet.all()) {
                fleet.restart(h);
            }
        });
    }
}

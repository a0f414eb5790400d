package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;

/** Faults of the system itself: machines, disks and links. */
final class MachineFaults {
    private static final Duration REPAIR_TIME_AFTER_DISK_LOSS = Duration.ofSeconds(15);
    private static final Duration REPAIR_TIME_AFTER_REPLACEMENT = Duration.ofSeconds(40);
    private final FleetSimulation simulation;
    private final SimulatedFleet fleet;
    private final Random random;
    private final List<String> log;
    private Duration nextLossPermitted;

    MachineFaults(FleetSimulation simulation, Random random, List<String> log) {
        this.simulation = simulation;
        this.fleet = simulation.fleet;
        this.random = random;
        this.log = log;
        this.nextLossPermitted = fleet.sim.now();
    }

    void registerIn(Map<String, FaultInjection> faults) {
        faults.put("kill", this::kill);
        faults.put("power loss", this::powerLoss);
        faults.put("pause", this::pause);
        faults.put("cut off", this::cutOff);
        faults.put(
                "one-way cut",
                () -> injectAndHeal(() -> fleet.net.cutOneWay(pickOne(fleet.all()), pickOne(fleet.all()))));
        faults.put(
                "stalled streams",
                () -> injectAndHeal(() -> fleet.net.stall(pickOne(fleet.intakes), pickOne(fleet.stores))));
        faults.put("frame loss and duplication", () -> fleet.net.setLossAndDuplication(0.05, 0.02));
        faults.put("lost disk", this::wipe);
        faults.put("store lost for good", this::loseStore);
        faults.put("control node lost for good", this::loseControlNode);
        faults.put("drain", () -> drain(pickOne(fleet.stores)));
        faults.put("intake drained", () -> drain(pickOne(fleet.intakes)));
        faults.put("rolling drain of stores", this::rollingDrain);
        faults.put("zone power loss", this::zonePowerLoss);
        faults.put("outage", this::outage);
    }

    private String pickOne(List<String> from) {
        return from.get(random.nextInt(from.size()));
    }

    private Duration randomDuration() {
        return Duration.ofMillis(500 + random.nextInt(7000));
    }

    private void schedule(Duration delay, FaultInjection faultInjection) {
        fleet.sim.after(delay, () -> {
            try {
                faultInjection.inject();
            } catch (ServiceException failure) {
                throw new IllegalStateException(failure);
            }
        });
    }

    private void injectAndHeal(FaultInjection faultInjection) throws ServiceException {
        faultInjection.inject();
        schedule(randomDuration(), fleet.net::heal);
    }

    private void kill() {
        String node = pickOne(fleet.all());
        log.add("kill " + node);
        fleet.kill(node);
        schedule(randomDuration(), () -> fleet.restart(node));
    }

    private void powerLoss() {
        String node = pickOne(fleet.all());
        log.add("power " + node);
        fleet.host(node).powerLoss();
        schedule(randomDuration(), () -> fleet.restart(node));
    }

    private void pause() {
        fleet.host(pickOne(fleet.all())).pause(randomDuration());
    }

    private void cutOff() throws ServiceException {
        injectAndHeal(() -> fleet.net.cutOff(pickOne(fleet.all())));
    }

    /** Permits one disk loss at a time, as the brief requires; the next only after time for the repair has passed. */
    private boolean lossPermitted(Duration repairTime) {
        boolean permitted = fleet.sim.now().compareTo(nextLossPermitted) >= 0 && fleet.repaired();
        if (permitted) {
            nextLossPermitted = fleet.sim.now().plus(repairTime);
        }
        return permitted;
    }

    private void wipe() {
        if (lossPermitted(REPAIR_TIME_AFTER_DISK_LOSS)) {
            String node = pickOne(random.nextBoolean() ? fleet.presentStores() : fleet.presentControlNodes());
            log.add("wipe " + node);
            fleet.kill(node);
            fleet.host(node).disk.wipe();
            schedule(randomDuration(), () -> fleet.restart(node));
        }
    }

    private void loseStore() {
        if (lossPermitted(REPAIR_TIME_AFTER_REPLACEMENT)) {
            String node = pickOne(fleet.presentStores());
            log.add("lost " + node);
            fleet.losePermanently(node);
            schedule(randomDuration(), fleet::newStore);
        }
    }

    private void loseControlNode() {
        if (lossPermitted(REPAIR_TIME_AFTER_REPLACEMENT)) {
            String node = pickOne(fleet.presentControlNodes());
            log.add("lost " + node);
            fleet.losePermanently(node);
            schedule(randomDuration(), () -> {
                String replacement = fleet.newControlNodeWithInitialSettings();
                simulation.operate(
                        new Request(
                                "PUT",
                                "/v1/core",
                                Map.of(),
                                Configurations.write(Map.of("lighthouses", fleet.presentControlNodes()))),
                        response -> log.add("core " + response.status() + " with " + replacement));
            });
        }
    }

    private void drain(String node) {
        if (fleet.host(node).alive()) {
            fleet.stopAsPlanned(node, () -> schedule(Duration.ofSeconds(1), () -> fleet.restart(node)));
        }
    }

    private void rollingDrain() {
        List<String> stores = fleet.presentStores();
        for (int i = 0; i < stores.size(); i++) {
            String store = stores.get(i);
            schedule(Duration.ofSeconds(6L * i), () -> drain(store));
        }
    }

    /** All machines of a zone lose power and restart at the same time. */
    private void zonePowerLoss() {
        String zone = fleet.zone(pickOne(fleet.all()));
        List<String> nodes =
                fleet.all().stream().filter(h -> fleet.zone(h).equals(zone)).toList();
        log.add("off " + zone);
        nodes.forEach(h -> fleet.host(h).powerLoss());
        schedule(randomDuration(), () -> {
            for (String h : nodes) {
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
        schedule(Duration.ofMillis(500), () -> {
            for (String h : fleet.all()) {
                fleet.restart(h);
            }
        });
    }
}

package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.woadvale.testkit.stub.Backend;

/** Faults from outside the system: callers, processors, endpoints, the operator and the calendars of the machines. */
final class ExternalFaults {
    private final FleetSimulation simulation;
    private final SimulatedFleet fleet;
    private final ConfigurationOperator operator;
    private final Random random;
    private final boolean calendarsJump;

    ExternalFaults(FleetSimulation simulation, Random random, boolean calendarsJump) {
        this.simulation = simulation;
        this.fleet = simulation.fleet;
        this.operator = new ConfigurationOperator(simulation);
        this.random = random;
        this.calendarsJump = calendarsJump;
    }

    void into(Map<String, FaultInjection> faults) {
        faults.put("answers lost", () -> fleet.deliveryNetwork.answerLoss(0.2));
        faults.put("backend down", () -> down(anyBackend()));
        faults.put(
                "all backends down", () -> List.copyOf(fleet.backends.keySet()).forEach(this::down));
        faults.put("backend slow", () -> setBehavior(new Backend.Behavior(Duration.ofMillis(1500), 0, 0.2, 0.1)));
        faults.put(
                "errors after the work",
                () -> setBehavior(new Backend.Behavior(Duration.ofMillis(5), 0, 0, 0, 0.5, "")));
        faults.put("failing jobs", () -> setBehavior(new Backend.Behavior(Duration.ofMillis(5), 0.5, 0.5, 0)));
        faults.put("connections open slowly", this::slowStreams);
        faults.put("intercepting intermediary", this::middlebox);
        faults.put("processor replaced", () -> replace("p" + random.nextInt(4)));
        faults.put("processors replaced one by one", this::replaceAll);
        faults.put("processor vanishes", this::vanish);
        faults.put("fetcher crashes", () -> fetcher().crashAndReturn());
        faults.put("fetcher loses answers", () -> fetcher().behave(Duration.ofMillis(20), 0.3));
        faults.put(
                "processor leaves",
                () -> simulation.putProcessor((random.nextInt(3) == 0 ? "f2" : "p" + random.nextInt(2)), true));
        faults.put("flood", this::flood);
        faults.put("layout", operator::change);
        faults.put("racing layouts", operator::race);
        faults.put("bad layout", operator::bad);
        faults.put("key withdrawn", operator::withdraw);
        faults.put("processor key exchanged", operator::rotate);
        faults.put("allowance changed", operator::allowance);
        faults.put("rate changed", operator::rate);
        faults.put("time limit changed", operator::timeLimit);
        faults.put("calendar jumps", this::jumpCalendar);
    }

    private Duration randomDuration() {
        return Duration.ofMillis(500 + random.nextInt(7000));
    }

    private String anyBackend() {
        List<String> all = List.copyOf(fleet.backends.keySet());
        return all.get(random.nextInt(all.size()));
    }

    private Fetcher fetcher() {
        return simulation.fetcher("f" + (2 + random.nextInt(2)));
    }

    private void down(String backend) {
        fleet.deliveryNetwork.down(backend, true);
        fleet.sim.after(randomDuration(), () -> fleet.deliveryNetwork.down(backend, false));
    }

    private void setBehavior(Backend.Behavior manner) {
        Backend backend = fleet.backends.get(anyBackend());
        backend.setBehavior(manner);
        fleet.sim.after(randomDuration(), () -> backend.setBehavior(Backend.Behavior.good()));
    }

    private void slowStreams() {
        String backend = anyBackend();
        fleet.deliveryNetwork.delayConnections(backend, Duration.ofMillis(random.nextInt(3000)));
        fleet.sim.after(randomDuration(), () -> fleet.deliveryNetwork.delayConnections(backend, Duration.ZERO));
    }

    private void middlebox() {
        fleet.deliveryNetwork.interceptRegistries(true);
        fleet.sim.after(randomDuration(), () -> fleet.deliveryNetwork.interceptRegistries(false));
    }

    /** Replaces the process of a processor by one with the same id at another address. */
    private void replace(String processor) {
        fleet.replaceBackend(processor);
        simulation.putProcessor(processor, false);
    }

    private void replaceAll() {
        for (int i = 0; i < 4; i++) {
            String processor = "p" + i;
            fleet.sim.after(Duration.ofMillis(1500L * i), () -> replace(processor));
        }
    }

    private void vanish() {
        String processor = "p" + random.nextInt(4);
        fleet.backends.get(processor).crash();
        fleet.deliveryNetwork.down(processor, true);
        fleet.sim.after(randomDuration(), () -> simulation.removeProcessor(processor));
        fleet.sim.after(Duration.ofSeconds(9), () -> {
            fleet.deliveryNetwork.down(processor, false);
            replace(processor);
        });
    }

    private void flood() {
        for (int i = 0; i < 150; i++) {
            fleet.sim.after(Duration.ofMillis(random.nextInt(2000)), () -> simulation.submitRandom(0));
        }
    }

    /**
     * Shifts the calendar of a machine, since the brief's machines have calendars that differ. Only every fourth fault
     * storm does so, because timestamps cannot be checked afterwards.
     */
    private void jumpCalendar() {
        if (calendarsJump) {
            List<String> all = fleet.all();
            fleet.host(all.get(random.nextInt(all.size())))
                    .shiftWallClock(Duration.ofMillis(random.nextInt(20000) - 10000));
        }
    }
}

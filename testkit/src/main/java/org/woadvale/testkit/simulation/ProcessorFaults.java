package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.woadvale.testkit.stub.Backend;

/** What comes from outside: callers, processors, endpoints, operator, and the calendar. */
final class ProcessorFaults {
    private final FleetSimulation simulation;
    private final SimulatedFleet fleet;
    private final ConfigurationOperator operator;
    private final Random random;
    private final boolean calendarsJump;

    ProcessorFaults(FleetSimulation simulation, Random random, boolean calendarsJump) {
        this.simulation = simulation;
        this.fleet = simulation.w;
        this.operator = new ConfigurationOperator(simulation);
        this.random = random;
        this.calendarsJump = calendarsJump;
    }

    void into(Map<String, FaultInjection> faults) {
        faults.put("answers lost", () -> fleet.post.answerLoss(0.2));
        faults.put("back end down", () -> down(anyBackend()));
        faults.put(
                "all back ends down", () -> List.copyOf(fleet.backends.keySet()).forEach(this::down));
        faults.put("back end slow", () -> manner(new Backend.Manner(Duration.ofMillis(1500), 0, 0.2, 0.1)));
        faults.put("errors after the work", () -> manner(new Backend.Manner(Duration.ofMillis(5), 0, 0, 0, 0.5, "")));
        faults.put("hopeless jobs", () -> manner(new Backend.Manner(Duration.ofMillis(5), 0.5, 0.5, 0)));
        faults.put("streams open slowly", this::slowStreams);
        faults.put("something in between", this::middlebox);
        faults.put("processor replaced", () -> replace("p" + random.nextInt(4)));
        faults.put("processors replaced one by one", this::replaceAll);
        faults.put("processor vanishes", this::vanish);
        faults.put("fetcher crashes", () -> fetcher().crashAndReturn());
        faults.put("fetcher loses answers", () -> fetcher().behave(Duration.ofMillis(20), 0.3));
        faults.put(
                "processor leaves",
                () -> simulation.list((random.nextInt(3) == 0 ? "f2" : "p" + random.nextInt(2)), true));
        faults.put("flood", this::flood);
        faults.put("layout", operator::change);
        faults.put("racing layouts", operator::race);
        faults.put("bad layout", operator::bad);
        faults.put("key withdrawn", operator::withdraw);
        faults.put("processor key exchanged", operator::rotate);
        faults.put("allowance changed", operator::allowance);
        faults.put("rate changed", operator::rate);
        faults.put("time limit changed", operator::timeLimit);
        faults.put("calendar jumps", this::jump);
    }

    private Duration some() {
        return Duration.ofMillis(500 + random.nextInt(7000));
    }

    private String anyBackend() {
        List<String> all = List.copyOf(fleet.backends.keySet());
        return all.get(random.nextInt(all.size()));
    }

    private Fetcher fetcher() {
        return simulation.fetcher("f" + (2 + random.nextInt(2)));
    }

    private void down(String b) {
        fleet.post.down(b, true);
        fleet.sim.after(some(), () -> fleet.post.down(b, false));
    }

    private void manner(Backend.Manner manner) {
        Backend backend = fleet.backends.get(anyBackend());
        backend.behave(manner);
        fleet.sim.after(some(), () -> backend.behave(Backend.Manner.good()));
    }

    private void slowStreams() {
        String b = anyBackend();
        fleet.post.slowStreams(b, Duration.ofMillis(random.nextInt(3000)));
        fleet.sim.after(some(), () -> fleet.post.slowStreams(b, Duration.ZERO));
    }

    private void middlebox() {
        fleet.post.middlebox(true);
        fleet.sim.after(some(), () -> fleet.post.middlebox(false));
    }

    /** Its process is gone, another has its id at another address. */
    private void replace(String p) {
        fleet.replaceBackend(p);
        simulation.list(p, false);
    }

    private void replaceAll() {
        for (int i = 0; i < 4; i++) {
            String p = "p" + i;
            fleet.sim.after(Duration.ofMillis(1500L * i), () -> replace(p));
        }
    }

    private void vanish() {
        String p = "p" + random.nextInt(4);
        fleet.backends.get(p).crash();
        fleet.post.down(p, true);
        fleet.sim.after(some(), () -> simulation.unlist(p));
        fleet.sim.after(Duration.ofSeconds(9), () -> {
            fleet.post.down(p, false);
            replace(p);
        });
    }

    private void flood() {
        for (int i = 0; i < 150; i++) {
            fleet.sim.after(Duration.ofMillis(random.nextInt(2000)), () -> simulation.one(0));
        }
    }

    /**
     * The brief's machines have calendars that differ; only every fourth fault storm, since stamps tell nothing then.
     */
    private void jump() {
        if (calendarsJump) {
            List<String> all = fleet.all();
            fleet.host(all.get(random.nextInt(all.size()))).jump(Duration.ofMillis(random.nextInt(20000) - 10000));
        }
    }
}

package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.woadvale.common.error.ServiceException;

/**
 * Kills processes while a fleet starts for the first time. Guards against a core that is never bootstrapped when the
 * process that should bootstrap it is killed first and restarts with settings for joining (review/3).
 */
class BootstrapKillsTest {
    /** Runs with random kill times for each machine or pair; {@code -Dfounding.moments=100} does more than CI. */
    private static final int RUNS = Integer.getInteger("founding.moments", 4);

    private static final int KILL_WINDOW_MICROS = 5_000_000;
    private static final int MAX_START_DELAY_MICROS = 2_000_000;
    private static final Duration DOWNTIME = Duration.ofMillis(500);
    private static final Duration SERVING_TIMEOUT = Duration.ofSeconds(5);

    /** How a machine loses its process. */
    private enum Loss {
        PROCESS(Host::kill),
        POWER(Host::powerLoss),
        DISK(host -> {
            host.kill();
            host.disk.wipe();
        });

        private final Consumer<Host> action;

        Loss(Consumer<Host> action) {
            this.action = action;
        }
    }

    /** Starts the processes at different times, as on machines that boot together. */
    private static FleetSimulation starting(long seed) throws ServiceException {
        FleetSimulation fleet = new FleetSimulation(seed, 2, 3, 2);
        for (String machine : fleet.fleet.all()) {
            fleet.fleet.host(machine).pause(fleet.fleet.sim.between(0, MAX_START_DELAY_MICROS));
        }
        return fleet;
    }

    /**
     * Returns the time from now, after all restarts, until the first configuration is accepted and every intake is
     * ready.
     */
    private static Duration awaitServing(FleetSimulation fleet, AtomicInteger status, String what) {
        Duration from = fleet.fleet.sim.now();
        boolean serving = fleet.fleet.sim.runUntil(() -> status.get() == 200 && fleet.fleet.ready(), SERVING_TIMEOUT);
        assertTrue(serving, () -> what + ": configuration answered " + status.get());
        return fleet.fleet.sim.now().minus(from);
    }

    private static AtomicInteger sendConfiguration(FleetSimulation fleet) {
        AtomicInteger status = new AtomicInteger();
        fleet.put(fleet.configuration, 0, "first", response -> status.set(response.status()));
        return status;
    }

    private static Duration timeToServeAfter(FleetSimulation fleet, List<String> machines, Loss loss, String what)
            throws ServiceException {
        AtomicInteger status = sendConfiguration(fleet);
        for (String machine : machines) {
            fleet.fleet.sim.run(fleet.fleet.sim.between(0, KILL_WINDOW_MICROS / machines.size()));
            loss.action.accept(fleet.fleet.host(machine));
        }
        fleet.fleet.sim.run(DOWNTIME);
        for (String machine : machines) {
            fleet.fleet.restart(machine);
        }
        Duration took = awaitServing(fleet, status, what);
        assertEquals(List.of(), fleet.violations());
        return took;
    }

    private static void report(Loss loss, String machines, List<Duration> times) {
        Collections.sort(times);
        System.out.printf(
                "%s of %s lost: served after p50 %d ms, p90 %d ms, worst %d ms of %d%n",
                loss,
                machines,
                times.get(times.size() / 2).toMillis(),
                times.get(times.size() * 9 / 10).toMillis(),
                times.get(times.size() - 1).toMillis(),
                times.size());
    }

    @ParameterizedTest
    @EnumSource(Loss.class)
    void oneLossDuringBootstrapDoesNotPreventServing(Loss loss) throws ServiceException {
        List<Duration> times = new ArrayList<>();
        for (int machine = 0; machine < 6; machine++) {
            for (int moment = 0; moment < RUNS; moment++) {
                FleetSimulation fleet = starting(1000L * machine + moment);
                String lost = (machine < 3 ? fleet.fleet.controlNodes : fleet.fleet.stores).get(machine % 3);
                times.add(timeToServeAfter(fleet, List.of(lost), loss, loss + " of " + lost + ", moment " + moment));
            }
        }
        report(loss, "one machine", times);
    }

    /** Kills the processes of two seeds in turn, in some runs before either has written to its disk. */
    @Test
    void twoSeedsKilledDuringBootstrapDoNotPreventServing() throws ServiceException {
        List<Duration> times = new ArrayList<>();
        for (int moment = 0; moment < RUNS; moment++) {
            FleetSimulation fleet = starting(7000L + moment);
            List<String> seeds = new ArrayList<>(fleet.fleet.controlNodes);
            Collections.shuffle(seeds, fleet.fleet.sim.random());
            times.add(timeToServeAfter(fleet, seeds.subList(0, 2), Loss.PROCESS, "two seeds, moment " + moment));
        }
        report(Loss.PROCESS, "two seeds", times);
    }
}

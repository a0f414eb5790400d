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
 * Processes are killed while a fleet starts for the first time. Guards against a core that is never founded when the
 * process that was to found it is killed first and comes back with settings that say that it joins (review/3).
 */
class FoundingKillsTest {
    /** {@code -Dfounding.moments=100}: more drawn moments than CI plays. */
    private static final int MOMENTS = Integer.getInteger("founding.moments", 4);

    private static final int FIRST_MOMENTS_MICROS = 5_000_000;
    private static final int SLOWEST_START_MICROS = 2_000_000;
    private static final Duration AWAY = Duration.ofMillis(500);
    private static final Duration LIMIT = Duration.ofSeconds(5);

    /** What happens to a machine whose process ends. */
    private enum Loss {
        PROCESS(Host::kill),
        POWER(Host::powerLoss),
        DISK(host -> {
            host.kill();
            host.disk.wipe();
        });

        private final Consumer<Host> takeDown;

        Loss(Consumer<Host> takeDown) {
            this.takeDown = takeDown;
        }
    }

    /** Processes come up at different times, as on machines that start together. */
    private static FleetSimulation starting(long seed) throws ServiceException {
        FleetSimulation fleet = new FleetSimulation(seed, 2, 3, 2);
        for (String machine : fleet.w.all()) {
            fleet.w.host(machine).pause(fleet.w.sim.between(0, SLOWEST_START_MICROS));
        }
        return fleet;
    }

    /** How long after the last process came back the first configuration is taken and every intake is ready. */
    private static Duration served(FleetSimulation fleet, AtomicInteger status, String what) {
        Duration from = fleet.w.sim.now();
        boolean inTime = fleet.w.sim.runUntil(() -> status.get() == 200 && fleet.w.ready(), LIMIT);
        assertTrue(inTime, () -> what + ": configuration answered " + status.get());
        return fleet.w.sim.now().minus(from);
    }

    private static AtomicInteger sendConfiguration(FleetSimulation fleet) {
        AtomicInteger status = new AtomicInteger();
        fleet.put(fleet.configuration, 0, "first", response -> status.set(response.status()));
        return status;
    }

    private static Duration foundedAfter(FleetSimulation fleet, List<String> machines, Loss loss, String what)
            throws ServiceException {
        AtomicInteger status = sendConfiguration(fleet);
        for (String machine : machines) {
            fleet.w.sim.run(fleet.w.sim.between(0, FIRST_MOMENTS_MICROS / machines.size()));
            loss.takeDown.accept(fleet.w.host(machine));
        }
        fleet.w.sim.run(AWAY);
        for (String machine : machines) {
            fleet.w.restart(machine);
        }
        Duration took = served(fleet, status, what);
        assertEquals(List.of(), fleet.violations());
        return took;
    }

    private static void report(Loss loss, String who, List<Duration> times) {
        Collections.sort(times);
        System.out.printf(
                "%s of %s lost: served after p50 %d ms, p90 %d ms, worst %d ms of %d%n",
                loss,
                who,
                times.get(times.size() / 2).toMillis(),
                times.get(times.size() * 9 / 10).toMillis(),
                times.get(times.size() - 1).toMillis(),
                times.size());
    }

    @ParameterizedTest
    @EnumSource(Loss.class)
    void oneLossAnywhereInTheFirstSecondsChangesNothing(Loss loss) throws ServiceException {
        List<Duration> times = new ArrayList<>();
        for (int machine = 0; machine < 6; machine++) {
            for (int moment = 0; moment < MOMENTS; moment++) {
                FleetSimulation fleet = starting(1000L * machine + moment);
                String lost = (machine < 3 ? fleet.w.controlNodes : fleet.w.stores).get(machine % 3);
                times.add(foundedAfter(fleet, List.of(lost), loss, loss + " of " + lost + ", moment " + moment));
            }
        }
        report(loss, "one machine", times);
    }

    /** The processes of two seeds are killed before either has anything on its disk, or later. */
    @Test
    void twoFoundersKilledOneAfterTheOtherChangeNothing() throws ServiceException {
        List<Duration> times = new ArrayList<>();
        for (int moment = 0; moment < MOMENTS; moment++) {
            FleetSimulation fleet = starting(7000L + moment);
            List<String> two = new ArrayList<>(fleet.w.controlNodes);
            Collections.shuffle(two, fleet.w.sim.random());
            times.add(foundedAfter(fleet, two.subList(0, 2), Loss.PROCESS, "two founders, moment " + moment));
        }
        report(Loss.PROCESS, "two founders", times);
    }
}

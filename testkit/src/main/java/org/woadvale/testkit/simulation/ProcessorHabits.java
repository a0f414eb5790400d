package org.woadvale.testkit.simulation;

import java.time.Duration;

/** How processors take a run: some messages always fail, the rest is luck. Chances from 0 to 1. */
record ProcessorHabits(Duration least, Duration most, double fails, double breaksOff, double turnsAway) {
    static ProcessorHabits good() {
        return new ProcessorHabits(Duration.ofMillis(10), Duration.ofMillis(200), 0.02, 0, 0);
    }

    static ProcessorHabits rough() {
        return new ProcessorHabits(Duration.ofMillis(10), Duration.ofMillis(1800), 0.1, 0.1, 0.1);
    }

    private static boolean share(String id, int salt, int of) {
        return Math.floorMod((id + salt).hashCode() * 0x9E3779B9 >>> 8, of) == 0;
    }

    /** What a run comes to: 200, 500, 422, or zero where it breaks off without an answer. */
    int outcome(String id, Simulator sim) {
        if (share(id, 1, 60)) {
            return 422;
        }
        if (share(id, 2, 60) || sim.chance(fails)) {
            return 500;
        }
        return sim.chance(breaksOff) ? 0 : 200;
    }

    Duration work(Simulator sim) {
        return sim.between(least.toNanos() / 1000, most.toNanos() / 1000);
    }
}

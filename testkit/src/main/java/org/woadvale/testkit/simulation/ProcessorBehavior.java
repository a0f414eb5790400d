package org.woadvale.testkit.simulation;

import java.time.Duration;

/** How processors handle a run: some messages always fail, others at random. Probabilities are from 0 to 1. */
record ProcessorBehavior(
        Duration minWork,
        Duration maxWork,
        double failureProbability,
        double noAnswerProbability,
        double rejectionProbability) {
    static ProcessorBehavior reliable() {
        return new ProcessorBehavior(Duration.ofMillis(10), Duration.ofMillis(200), 0.02, 0, 0);
    }

    static ProcessorBehavior unreliable() {
        return new ProcessorBehavior(Duration.ofMillis(10), Duration.ofMillis(1800), 0.1, 0.1, 0.1);
    }

    private static boolean inFixedShare(String id, int salt, int divisor) {
        return Math.floorMod((id + salt).hashCode() * 0x9E3779B9 >>> 8, divisor) == 0;
    }

    /** The outcome of a run: 200, 500, 422, or zero if it breaks off without an answer. */
    int outcome(String id, Simulator sim) {
        if (inFixedShare(id, 1, 60)) {
            return 422;
        }
        if (inFixedShare(id, 2, 60) || sim.chance(failureProbability)) {
            return 500;
        }
        return sim.chance(noAnswerProbability) ? 0 : 200;
    }

    Duration workDuration(Simulator sim) {
        return sim.between(minWork.toNanos() / 1000, maxWork.toNanos() / 1000);
    }
}

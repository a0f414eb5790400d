package org.woadvale.testkit.capacity;

import java.util.Collection;

/** Frames and bytes in both directions, asks answered, processor time in seconds. */
record Count(double frames, double bytes, double asks, double cpuS) {
    static final Count NOTHING = new Count(0, 0, 0, 0);

    Count plus(Count count) {
        return new Count(frames + count.frames, bytes + count.bytes, asks + count.asks, cpuS + count.cpuS);
    }

    Count minus(Count count) {
        return plus(count.times(-1));
    }

    Count times(double f) {
        return new Count(frames * f, bytes * f, asks * f, cpuS * f);
    }

    static Count sum(Collection<Count> all) {
        return all.stream().reduce(NOTHING, Count::plus);
    }
}

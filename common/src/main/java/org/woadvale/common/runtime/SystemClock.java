package org.woadvale.common.runtime;

import java.time.Duration;
import java.time.Instant;

/** The clocks of the operating system. */
public final class SystemClock implements Clock {
    private final long start = System.nanoTime();

    @Override
    public Duration monotonicTime() {
        return Duration.ofNanos(System.nanoTime() - start);
    }

    @Override
    public Instant wallTime() {
        return Instant.now();
    }
}

package org.woadvale.testkit.explore;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.runtime.Timers;

/** Clock and timers of one incarnation of a node; timers run only when the model schedules them. */
final class ModelTimers implements Clock, Timers {
    /** A timer that has not run; {@code label} distinguishes timers that are set by different code. */
    record Pending(Duration due, long order, String label, Runnable task) {}

    private static final Instant EPOCH = Instant.parse("2030-01-01T00:00:00Z");
    private final Supplier<Duration> clock;
    private final List<Pending> pending = new ArrayList<>();
    private long order;

    ModelTimers(Supplier<Duration> clock) {
        this.clock = clock;
    }

    @Override
    public Duration monotonicTime() {
        return clock.get();
    }

    @Override
    public Instant wallTime() {
        return EPOCH.plus(monotonicTime());
    }

    @Override
    public TimerHandle after(Duration delay, Runnable task) {
        Pending timer = new Pending(
                monotonicTime().plus(delay), order++, task.getClass().getName(), task);
        pending.add(timer);
        pending.sort(Comparator.comparing(Pending::due).thenComparingLong(Pending::order));
        return () -> pending.remove(timer);
    }

    @Override
    public void execute(Runnable task) {
        after(Duration.ZERO, task);
    }

    @Override
    public void executeDiskTask(Runnable task) {
        after(Duration.ZERO, task);
    }

    /** Runs all timers that are due, earliest first, including those that a task sets for the current time. */
    void runDue() {
        Duration now = monotonicTime();
        while (!pending.isEmpty() && pending.get(0).due().compareTo(now) <= 0) {
            pending.remove(0).task().run();
        }
    }

    List<Pending> pending() {
        return List.copyOf(pending);
    }
}

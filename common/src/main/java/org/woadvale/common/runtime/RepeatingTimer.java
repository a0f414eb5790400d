package org.woadvale.common.runtime;

import java.time.Duration;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A task that is scheduled again after each run, even if the run threw a {@link RuntimeException}. */
final class RepeatingTimer implements TimerHandle {
    private static final Logger LOG = LogManager.getLogger(RepeatingTimer.class);
    private final Timers timers;
    private final Duration period;
    private final Runnable task;
    private Optional<TimerHandle> next = Optional.empty();
    private boolean cancelled;

    RepeatingTimer(Timers timers, Duration period, Runnable task) {
        this.timers = timers;
        this.period = period;
        this.task = task;
    }

    synchronized RepeatingTimer begin() {
        if (!cancelled) {
            next = Optional.of(timers.after(period, this::run));
        }
        return this;
    }

    private void run() {
        synchronized (this) {
            if (cancelled) {
                return;
            }
        }
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("Repeated task failed.", e);
        }
        begin();
    }

    @Override
    public synchronized void cancel() {
        cancelled = true;
        next.ifPresent(TimerHandle::cancel);
    }
}

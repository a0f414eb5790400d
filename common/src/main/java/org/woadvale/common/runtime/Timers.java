package org.woadvale.common.runtime;

import java.time.Duration;

/**
 * Runs all delayed and asynchronous tasks of a process, so that a simulation can replace the scheduling
 * (docs/design.md, section 2.1).
 */
public interface Timers {
    /** Runs a task once after a delay. */
    TimerHandle after(Duration delay, Runnable task);

    /** Runs a task as soon as a thread is available. */
    void execute(Runnable task);

    /** Runs a task that blocks on disk I/O; such tasks never run on an event loop. */
    void executeDiskTask(Runnable task);

    /** Repeats a task until it is cancelled; the period starts when the previous run has ended. */
    default TimerHandle every(Duration period, Runnable task) {
        return new RepeatingTimer(this, period, task).begin();
    }
}

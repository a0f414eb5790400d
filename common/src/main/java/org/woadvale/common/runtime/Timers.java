package org.woadvale.common.runtime;

import java.time.Duration;

/** Seam for everything that happens later (docs/design.md, section 2.1). */
public interface Timers {
    /** Runs a task once after a delay. */
    TimerHandle after(Duration delay, Runnable task);

    /** As soon as a thread is free. */
    void execute(Runnable task);

    /** For tasks that block on a disk; never on an event loop. */
    void executeDiskTask(Runnable task);

    /** Repeats until cancelled; the next run is set after the former one ended. */
    default TimerHandle every(Duration period, Runnable task) {
        return new RepeatingTimer(this, period, task).begin();
    }
}

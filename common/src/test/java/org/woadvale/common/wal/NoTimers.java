package org.woadvale.common.wal;

import java.time.Duration;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.runtime.Timers;

/** Timers that never run a task. */
final class NoTimers implements Timers {
    @Override
    public TimerHandle after(Duration delay, Runnable task) {
        return () -> {};
    }

    @Override
    public void execute(Runnable task) {
        // nothing runs
    }

    @Override
    public void executeDiskTask(Runnable task) {
        // nothing runs
    }
}

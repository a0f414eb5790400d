package org.woadvale.common.wal;

import java.time.Duration;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.runtime.Timers;

/** Runs nothing. */
final class NoTimers implements Timers {
    @Override
    public TimerHandle after(Duration delay, Runnable task) {
        return () -> {};
    }

    @Override
    public void soon(Runnable task) {
        // nothing runs
    }

    @Override
    public void onDisk(Runnable task) {
        // nothing runs
    }
}

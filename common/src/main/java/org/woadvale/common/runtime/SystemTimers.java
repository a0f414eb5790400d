package org.woadvale.common.runtime;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Several threads for work, one for the disk. */
public final class SystemTimers implements Timers {
    private static final Logger LOG = LogManager.getLogger(SystemTimers.class);
    private final ScheduledThreadPoolExecutor pool;
    private final ExecutorService disk;

    /** Timers that run on so many threads. */
    public SystemTimers(int threads) {
        pool = new ScheduledThreadPoolExecutor(threads, task -> daemon(task, "work"));
        pool.setRemoveOnCancelPolicy(true);
        disk = Executors.newSingleThreadExecutor(task -> daemon(task, "disk"));
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public TimerHandle after(Duration delay, Runnable task) {
        try {
            ScheduledFuture<?> scheduled =
                    pool.schedule(guarded(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
            return () -> scheduled.cancel(false);
        } catch (RejectedExecutionException e) {
            return () -> {};
        }
    }

    @Override
    public void execute(Runnable task) {
        try {
            pool.execute(guarded(task));
        } catch (RejectedExecutionException e) {
            LOG.debug("Dropped a task after the stop.");
        }
    }

    @Override
    public void executeDiskTask(Runnable task) {
        try {
            disk.execute(guarded(task));
        } catch (RejectedExecutionException e) {
            LOG.debug("Dropped a disk task after the stop.");
        }
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("Task failed.", e);
            }
        };
    }

    /** Drops what has not run yet. */
    public void close() {
        pool.shutdownNow();
        disk.shutdown();
    }
}

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

/** Runs tasks on a pool of threads, and disk tasks on one thread of their own. */
public final class SystemTimers implements Timers {
    private static final Logger LOG = LogManager.getLogger(SystemTimers.class);
    private final ScheduledThreadPoolExecutor pool;
    private final ExecutorService disk;

    /** Creates timers whose pool has the given number of threads, apart from the disk thread. */
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
            LOG.debug("Discarded a task that was submitted after the timers were closed.");
        }
    }

    @Override
    public void executeDiskTask(Runnable task) {
        try {
            disk.execute(guarded(task));
        } catch (RejectedExecutionException e) {
            LOG.debug("Discarded a disk task that was submitted after the timers were closed.");
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

    /** Discards tasks that have not started and interrupts running ones; disk tasks already submitted still run. */
    public void close() {
        pool.shutdownNow();
        disk.shutdown();
    }
}

package org.woadvale.common.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * The lock of a piece of state. Tasks that call out of the shard are deferred until the lock is released
 * (docs/design.md, section 2.3).
 */
public final class LockedShard {
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Runnable> deferred = new ArrayDeque<>();

    /** Runs the body while holding the lock. */
    public void run(Runnable body) {
        get(() -> {
            body.run();
            return Boolean.TRUE;
        });
    }

    /** Runs the body while holding the lock and returns its result. */
    public <T> T get(Supplier<T> body) {
        lock.lock();
        try {
            return body.get();
        } finally {
            if (lock.getHoldCount() > 1 || deferred.isEmpty()) {
                lock.unlock();
            } else {
                Runnable[] tasks = deferred.toArray(Runnable[]::new);
                deferred.clear();
                lock.unlock();
                for (Runnable task : tasks) {
                    task.run();
                }
            }
        }
    }

    /** Defers a task until the lock is released; may be called only while the lock is held. */
    public void afterUnlock(Runnable task) {
        if (!lock.isHeldByCurrentThread()) {
            throw new IllegalStateException("afterUnlock was called without holding the lock of the shard");
        }
        deferred.add(task);
    }
}

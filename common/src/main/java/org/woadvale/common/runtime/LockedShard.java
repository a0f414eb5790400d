package org.woadvale.common.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/** A piece of state under its own lock; what leaves the shard runs after unlocking (docs/design.md, section 2.3). */
public final class LockedShard {
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Runnable> deferred = new ArrayDeque<>();

    /** Runs the body alone. */
    public void run(Runnable body) {
        get(() -> {
            body.run();
            return Boolean.TRUE;
        });
    }

    /** Runs the body alone and answers with its result. */
    public <T> T get(Supplier<T> body) {
        lock.lock();
        try {
            return body.get();
        } finally {
            if (lock.getHoldCount() > 1 || deferred.isEmpty()) {
                lock.unlock();
            } else {
                Runnable[] out = deferred.toArray(Runnable[]::new);
                deferred.clear();
                lock.unlock();
                for (Runnable task : out) {
                    task.run();
                }
            }
        }
    }

    /** Call only while inside; the task runs once the lock is free. */
    public void afterUnlock(Runnable task) {
        if (!lock.isHeldByCurrentThread()) {
            throw new IllegalStateException("leave outside of the shard");
        }
        deferred.add(task);
    }
}

package org.woadvale.common.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.woadvale.common.error.QueueFullException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** One stage of request processing: a bounded queue in front of a bounded number of concurrent tasks. */
public final class Stage<I, O> {
    private record QueuedTask<I, O>(I input, Sinks.One<O> result) {}

    private final LockedShard shard = new LockedShard();
    private final Deque<QueuedTask<I, O>> queue = new ArrayDeque<>();
    private final String name;
    private final int queueCapacity;
    private final int maxConcurrency;
    private final Function<I, Mono<O>> work;
    private final AtomicLong rejectedCount = new AtomicLong();
    private int running;

    /**
     * Creates a stage.
     *
     * @param queueCapacity how many inputs may wait while {@code maxConcurrency} are being processed
     * @param maxConcurrency how many inputs are processed at the same time
     */
    public Stage(String name, int queueCapacity, int maxConcurrency, Function<I, Mono<O>> work) {
        this.name = name;
        this.queueCapacity = queueCapacity;
        this.maxConcurrency = maxConcurrency;
        this.work = work;
    }

    /**
     * Processes an input, or fails with {@link QueueFullException} if the queue is full: overload is rejected
     * explicitly and never lets the queue grow unnoticed.
     */
    public Mono<O> submit(I input) {
        return submit(input, () -> {});
    }

    /** Like {@link #submit(Object)}; {@code onRejected} runs if the queue is full, but not if the work fails. */
    public Mono<O> submit(I input, Runnable onRejected) {
        return Mono.defer(() -> {
            Sinks.One<O> result = Sinks.one();
            boolean accepted = shard.get(() -> {
                if (running >= maxConcurrency && queue.size() >= queueCapacity) {
                    return false;
                }
                queue.add(new QueuedTask<>(input, result));
                pump();
                return true;
            });
            if (!accepted) {
                rejectedCount.incrementAndGet();
                onRejected.run();
                return Mono.error(new QueueFullException("The stage " + name + " is full."));
            }
            return result.asMono();
        });
    }

    private void pump() {
        while (running < maxConcurrency && !queue.isEmpty()) {
            QueuedTask<I, O> task = queue.poll();
            running++;
            shard.afterUnlock(() -> begin(task));
        }
    }

    private void begin(QueuedTask<I, O> task) {
        Mono.defer(() -> work.apply(task.input()))
                .doFinally(signal -> shard.run(() -> {
                    running--;
                    pump();
                }))
                .subscribe(
                        value -> task.result().tryEmitValue(value),
                        error -> task.result().tryEmitError(error),
                        () -> task.result().tryEmitEmpty());
    }

    /** The number of inputs in the queue. */
    public int queueLength() {
        return shard.get(queue::size);
    }

    /** The number of inputs rejected so far because the queue was full. */
    public long rejectedCount() {
        return rejectedCount.get();
    }
}

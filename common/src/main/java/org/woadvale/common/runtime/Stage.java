package org.woadvale.common.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.woadvale.common.error.QueueFullException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** One stage of a request's way: a bounded queue before a bounded number of running works. */
public final class Stage<I, O> {
    private record Waiting<I, O>(I in, Sinks.One<O> out) {}

    private final LockedShard shard = new LockedShard();
    private final Deque<Waiting<I, O>> queue = new ArrayDeque<>();
    private final String name;
    private final int depth;
    private final int width;
    private final Function<I, Mono<O>> work;
    private final AtomicLong rejectedCount = new AtomicLong();
    private int running;

    /** Work of which so many run at once and so many wait. */
    public Stage(String name, int depth, int width, Function<I, Mono<O>> work) {
        this.name = name;
        this.depth = depth;
        this.width = width;
        this.work = work;
    }

    /** A full queue is a definite refusal, never silent growth. */
    public Mono<O> submit(I in) {
        return submit(in, () -> {});
    }

    /** The same; the task runs if this stage refuses, and not for what its work answers. */
    public Mono<O> submit(I in, Runnable onRefused) {
        return Mono.defer(() -> {
            Sinks.One<O> out = Sinks.one();
            boolean taken = shard.get(() -> {
                if (running >= width && queue.size() >= depth) {
                    return false;
                }
                queue.add(new Waiting<>(in, out));
                pump();
                return true;
            });
            if (!taken) {
                rejectedCount.incrementAndGet();
                onRefused.run();
                return Mono.error(new QueueFullException("The stage " + name + " is full."));
            }
            return out.asMono();
        });
    }

    private void pump() {
        while (running < width && !queue.isEmpty()) {
            Waiting<I, O> waiting = queue.poll();
            running++;
            shard.afterUnlock(() -> begin(waiting));
        }
    }

    private void begin(Waiting<I, O> waiting) {
        Mono.defer(() -> work.apply(waiting.in()))
                .doFinally(signal -> shard.run(() -> {
                    running--;
                    pump();
                }))
                .subscribe(
                        v -> waiting.out().tryEmitValue(v),
                        e -> waiting.out().tryEmitError(e),
                        () -> waiting.out().tryEmitEmpty());
    }

    /** How many wait now. */
    public int queueLength() {
        return shard.get(queue::size);
    }

    /** How many were refused so far. */
    public long rejectedCount() {
        return rejectedCount.get();
    }
}

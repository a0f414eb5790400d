package org.woadvale.testkit.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.Instant;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.runtime.Timers;
import org.woadvale.testkit.simulation.Simulator;

/**
 * One hollow machine on the fake clock: it counts what it sends and gets, and the processor time of all that runs on
 * it. (docs/design.md, section 12.1) The time is the thread's own (ThreadMXBean); asking for it costs about a
 * microsecond a task, which is not taken off. Sockets cost nothing here: see {@link Wires}.
 */
final class HollowHost implements Clock, Timers {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final Instant EPOCH = Instant.parse("2030-01-01T00:00:00Z");
    private static final Duration DISK = Duration.ofMillis(2);

    final String address;
    private final Simulator sim;
    private final Duration started;
    private RpcRouter router = new RpcRouter();
    private boolean alive = true;
    private long frames;
    private long bytes;
    private long served;
    private long cpuNanos;

    HollowHost(String address, Simulator sim) {
        this.address = address;
        this.sim = sim;
        this.started = sim.now();
    }

    void serve(RpcRouter rpcRouter) {
        router = rpcRouter;
    }

    RpcRouter router() {
        return router;
    }

    boolean alive() {
        return alive;
    }

    /** The process is gone; nothing that it had planned happens. */
    void kill() {
        alive = false;
    }

    /** A frame that left or came, with its four bytes of length. (docs/design.md, section 3.2) */
    void passed(int frameBytes) {
        frames++;
        bytes += frameBytes + Integer.BYTES;
    }

    void asked() {
        served++;
    }

    /** All that was counted since the start: frames and bytes in both directions, asks answered, processor seconds. */
    Count count() {
        return new Count(frames, bytes, served, cpuNanos / 1e9);
    }

    /** Runs as this machine's own work. */
    void work(Runnable task) {
        if (alive) {
            long from = THREADS.getCurrentThreadCpuTime();
            task.run();
            cpuNanos += THREADS.getCurrentThreadCpuTime() - from;
        }
    }

    @Override
    public Duration monotonicTime() {
        return sim.now().minus(started);
    }

    @Override
    public Instant wallTime() {
        return EPOCH.plus(sim.now());
    }

    @Override
    public TimerHandle after(Duration delay, Runnable task) {
        boolean[] cancelled = {false};
        sim.after(delay, () -> {
            if (!cancelled[0]) {
                work(task);
            }
        });
        return () -> cancelled[0] = true;
    }

    @Override
    public void execute(Runnable task) {
        after(sim.between(1, 50), task);
    }

    @Override
    public void executeDiskTask(Runnable task) {
        after(DISK, task);
    }
}

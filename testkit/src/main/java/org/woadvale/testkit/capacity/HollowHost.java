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
 * One hollow machine on the simulated clock. It counts the frames that it sends and receives, and the CPU time of all
 * tasks that run on it. (docs/design.md, section 12.1) CPU time is that of the current thread (ThreadMXBean); reading it
 * costs about a microsecond per task, which is not subtracted. Sockets are not simulated: see {@link TcpRequests}.
 */
final class HollowHost implements Clock, Timers {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final Instant EPOCH = Instant.parse("2030-01-01T00:00:00Z");
    private static final Duration DISK_DELAY = Duration.ofMillis(2);

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

    /** Ends the process; tasks that are still scheduled do not run. */
    void kill() {
        alive = false;
    }

    /** Counts a frame that was sent or received, including its four-byte length prefix. (docs/design.md, section 3.2) */
    void countFrame(int frameBytes) {
        frames++;
        bytes += frameBytes + Integer.BYTES;
    }

    void countRequest() {
        served++;
    }

    /** Returns the usage since the start. */
    ResourceUsage usage() {
        return new ResourceUsage(frames, bytes, served, cpuNanos / 1e9);
    }

    /** Runs a task and adds its CPU time to this machine's; does nothing after {@link #kill}. */
    void runMeasured(Runnable task) {
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
                runMeasured(task);
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
        after(DISK_DELAY, task);
    }
}

package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.time.Instant;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.runtime.Timers;

/** One machine: its clocks run a little off, it can be killed, paused, and lose its power. */
public final class Host implements Clock, Timers {
    /** The smaller disks of the users' machines write 120 MB a second. */
    private static final long DISK_NANOS_PER_BYTE = 8;

    static final Instant EPOCH = Instant.parse("2030-01-01T00:00:00Z");
    final String address;
    final Simulator sim;
    final SimDisk disk;
    private final double timing;
    private RpcRouter router = new RpcRouter();
    private boolean alive;
    private long life;
    private Duration pausedUntil = Duration.ZERO;
    private Duration started = Duration.ZERO;
    private Duration calendarOff = Duration.ZERO;
    private int diskFactor = 1;
    private boolean inDiskTask;
    private long writtenBefore;

    Host(String address, Simulator sim) {
        this.address = address;
        this.sim = sim;
        this.disk = new SimDisk(sim);
        this.timing = 1 + (sim.random().nextDouble() - 0.5) * 0.01;
    }

    void boot(RpcRouter rpcRouter) {
        router = rpcRouter;
        alive = true;
        started = sim.now();
        pausedUntil = Duration.ZERO;
    }

    /** The process is gone; what it had planned never happens. */
    void kill() {
        alive = false;
        life++;
    }

    void powerLoss() {
        kill();
        disk.powerLoss();
    }

    void pause(Duration d) {
        pausedUntil = sim.now().plus(d);
    }

    /** The calendar clock jumps; the monotonic one goes on. */
    void jump(Duration d) {
        calendarOff = calendarOff.plus(d);
    }

    /** What follows a write on a slow disk waits for its bytes too. */
    private Duration diskTime() {
        boolean waits = inDiskTask && diskFactor > 1;
        long nanos = waits ? (disk.written() - writtenBefore) * DISK_NANOS_PER_BYTE * diskFactor : 0;
        return Duration.ofNanos(nanos);
    }

    /** Each call to the disk takes so many times as long from now on. */
    void slowDisk(int factor) {
        diskFactor = factor;
    }

    boolean calendarOff() {
        return !calendarOff.isZero();
    }

    boolean paused() {
        return sim.now().compareTo(pausedUntil) < 0;
    }

    boolean alive() {
        return alive;
    }

    long life() {
        return life;
    }

    RpcRouter router() {
        return router;
    }

    @Override
    public Duration monotonicTime() {
        return Duration.ofNanos((long) (sim.now().minus(started).toNanos() * timing));
    }

    @Override
    public Instant wallTime() {
        return EPOCH.plus(sim.now()).plus(calendarOff);
    }

    private void guarded(long bornIn, boolean[] cancelled, Runnable task) {
        if (life != bornIn || cancelled[0]) {
            return;
        }
        if (sim.now().compareTo(pausedUntil) < 0) {
            sim.at(pausedUntil, () -> guarded(bornIn, cancelled, task));
            return;
        }
        task.run();
    }

    @Override
    public TimerHandle after(Duration delay, Runnable task) {
        boolean[] cancelled = {false};
        long bornIn = life;
        Duration whole = delay.plus(diskTime());
        sim.after(Duration.ofNanos((long) (whole.toNanos() / timing)), () -> guarded(bornIn, cancelled, task));
        return () -> cancelled[0] = true;
    }

    @Override
    public void execute(Runnable task) {
        after(sim.between(1, 50), task);
    }

    @Override
    public void executeDiskTask(Runnable task) {
        after(sim.between(500, 4000).multipliedBy(diskFactor), () -> {
            writtenBefore = disk.written();
            inDiskTask = true;
            try {
                task.run();
            } finally {
                inDiskTask = false;
            }
        });
    }
}

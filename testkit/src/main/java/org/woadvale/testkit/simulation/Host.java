package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.time.Instant;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.runtime.Timers;

/** One machine: its clock rate is slightly off, and it can be killed, be paused and lose power. */
public final class Host implements Clock, Timers {
    /** The smaller disks of the users' machines write 120 MB/s, about 8 ns per byte. */
    private static final long DISK_NANOS_PER_BYTE = 8;

    static final Instant EPOCH = Instant.parse("2030-01-01T00:00:00Z");
    final String address;
    final Simulator sim;
    final SimDisk disk;
    private final double clockRate;
    private RpcRouter router = new RpcRouter();
    private boolean alive;
    private boolean connected;
    private long incarnation;
    private Duration pausedUntil = Duration.ZERO;
    private Duration bootedAt = Duration.ZERO;
    private Duration wallClockOffset = Duration.ZERO;
    private int diskSlowdown = 1;
    private boolean inDiskTask;
    private long writtenBefore;

    Host(String address, Simulator sim) {
        this.address = address;
        this.sim = sim;
        this.disk = new SimDisk(sim);
        this.clockRate = 1 + (sim.random().nextDouble() - 0.5) * 0.01;
    }

    void boot(RpcRouter newRouter) {
        router = newRouter;
        alive = true;
        connected = true;
        bootedAt = sim.now();
        pausedUntil = Duration.ZERO;
    }

    /** The process dies, and its pending tasks never run. */
    void kill() {
        alive = false;
        connected = false;
        incarnation++;
    }

    /** The process runs on, but calls neither leave nor reach it any more. */
    void closeConnections() {
        connected = false;
    }

    void powerLoss() {
        kill();
        disk.powerLoss();
    }

    void pause(Duration duration) {
        pausedUntil = sim.now().plus(duration);
    }

    /** Shifts the wall clock; the monotonic clock is not affected. */
    void shiftWallClock(Duration duration) {
        wallClockOffset = wallClockOffset.plus(duration);
    }

    /** On a slow disk, whatever a disk task schedules after a write also waits for the bytes written. */
    private Duration diskTime() {
        boolean slow = inDiskTask && diskSlowdown > 1;
        long nanos = slow ? (disk.written() - writtenBefore) * DISK_NANOS_PER_BYTE * diskSlowdown : 0;
        return Duration.ofNanos(nanos);
    }

    /** From now on each disk operation takes {@code factor} times as long. */
    void slowDisk(int factor) {
        diskSlowdown = factor;
    }

    boolean wallClockShifted() {
        return !wallClockOffset.isZero();
    }

    boolean paused() {
        return sim.now().compareTo(pausedUntil) < 0;
    }

    boolean alive() {
        return alive;
    }

    boolean connected() {
        return connected;
    }

    long incarnation() {
        return incarnation;
    }

    RpcRouter router() {
        return router;
    }

    @Override
    public Duration monotonicTime() {
        return Duration.ofNanos((long) (sim.now().minus(bootedAt).toNanos() * clockRate));
    }

    @Override
    public Instant wallTime() {
        return EPOCH.plus(sim.now()).plus(wallClockOffset);
    }

    private void runIfCurrent(long scheduledIn, boolean[] cancelled, Runnable task) {
        if (incarnation != scheduledIn || cancelled[0]) {
            return;
        }
        if (sim.now().compareTo(pausedUntil) < 0) {
            sim.at(pausedUntil, () -> runIfCurrent(scheduledIn, cancelled, task));
            return;
        }
        task.run();
    }

    @Override
    public TimerHandle after(Duration delay, Runnable task) {
        boolean[] cancelled = {false};
        long scheduledIn = incarnation;
        Duration total = delay.plus(diskTime());
        sim.after(
                Duration.ofNanos((long) (total.toNanos() / clockRate)),
                () -> runIfCurrent(scheduledIn, cancelled, task));
        return () -> cancelled[0] = true;
    }

    @Override
    public void execute(Runnable task) {
        after(sim.between(1, 50), task);
    }

    @Override
    public void executeDiskTask(Runnable task) {
        after(sim.between(500, 4000).multipliedBy(diskSlowdown), () -> {
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

package org.woadvale.common.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.runtime.Timers;

class SilenceDetectorTest {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

    private final Deque<Runnable> eventLoop = new ArrayDeque<>();
    private final List<Runnable> scheduled = new ArrayList<>();
    private final List<Duration> delays = new ArrayList<>();
    private int silenceCount;

    private final SilenceDetector detector = new SilenceDetector(
            new Timers() {
                @Override
                public TimerHandle after(Duration delay, Runnable task) {
                    delays.add(delay);
                    scheduled.add(task);
                    return () -> {};
                }

                @Override
                public void execute(Runnable task) {
                    task.run();
                }

                @Override
                public void executeDiskTask(Runnable task) {
                    task.run();
                }
            },
            eventLoop::add,
            () -> silenceCount++);

    private void runAll() {
        scheduled.forEach(Runnable::run);
        eventLoop.forEach(Runnable::run);
    }

    @Test
    void noBytesForASecondAfterSendingIsSilence() {
        detector.onUnanswered(detector.receiveCount(), CALL_TIMEOUT);
        assertEquals(List.of(SilenceDetector.LIMIT.minus(CALL_TIMEOUT)), delays);
        assertEquals(0, silenceCount);
        runAll();
        assertEquals(1, silenceCount);
    }

    @Test
    void bytesReceivedAfterSendingAreNoSilence() {
        long receiveCountAtSending = detector.receiveCount();
        detector.onReceived();
        detector.onUnanswered(receiveCountAtSending, CALL_TIMEOUT);
        runAll();
        assertEquals(0, silenceCount);
    }

    /**
     * Guards against a process that, after a pause, closes its connections before it reads what was received meanwhile.
     */
    @Test
    void bytesReadBeforeTheCheckOnTheEventLoopAreNoSilence() {
        detector.onUnanswered(detector.receiveCount(), CALL_TIMEOUT);
        scheduled.forEach(Runnable::run);
        detector.onReceived();
        eventLoop.forEach(Runnable::run);
        assertEquals(0, silenceCount);
    }
}

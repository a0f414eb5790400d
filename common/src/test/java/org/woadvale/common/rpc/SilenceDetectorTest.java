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
    private static final Duration CALL_LIMIT = Duration.ofMillis(400);

    private final Deque<Runnable> eventLoop = new ArrayDeque<>();
    private final List<Runnable> due = new ArrayList<>();
    private final List<Duration> delays = new ArrayList<>();
    private int silences;

    private final SilenceDetector detector = new SilenceDetector(
            new Timers() {
                @Override
                public TimerHandle after(Duration delay, Runnable task) {
                    delays.add(delay);
                    due.add(task);
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
            () -> silences++);

    private void runAll() {
        due.forEach(Runnable::run);
        eventLoop.forEach(Runnable::run);
    }

    @Test
    void nothingUntilASecondAfterTheSendingIsSilence() {
        detector.onUnanswered(detector.receiveCount(), CALL_LIMIT);
        assertEquals(List.of(SilenceDetector.LIMIT.minus(CALL_LIMIT)), delays);
        assertEquals(0, silences);
        runAll();
        assertEquals(1, silences);
    }

    @Test
    void anyBytesSinceTheSendingAreNoSilence() {
        long atSending = detector.receiveCount();
        detector.onReceived();
        detector.onUnanswered(atSending, CALL_LIMIT);
        runAll();
        assertEquals(0, silences);
    }

    /** Guards against a paused process that closes its connections before it reads what came in the pause. */
    @Test
    void bytesThatTheEventLoopTakesInBeforeTheVerdictAreNoSilence() {
        detector.onUnanswered(detector.receiveCount(), CALL_LIMIT);
        due.forEach(Runnable::run);
        detector.onReceived();
        eventLoop.forEach(Runnable::run);
        assertEquals(0, silences);
    }
}

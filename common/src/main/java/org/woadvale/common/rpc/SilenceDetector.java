package org.woadvale.common.rpc;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.woadvale.common.runtime.Timers;

/**
 * Detects that the peer of an open connection has disappeared without a close or a reset, as after a power loss or a
 * network partition: a call ended without a response, and nothing at all was received until {@link #LIMIT} after it was
 * sent. TCP alone would keep retransmitting the lost bytes with exponential backoff, although the peer may long have
 * been reachable again over a new connection.
 */
public final class SilenceDetector {
    /** Longer than the timeouts of ordinary calls, so that a single slow response does not count as silence. */
    public static final Duration LIMIT = Duration.ofSeconds(1);

    private final Timers timers;
    private final Executor eventLoop;
    private final Runnable onSilent;
    private final AtomicLong receiveCount = new AtomicLong();

    /**
     * Creates the detector of one connection.
     *
     * @param eventLoop the event loop of the connection, which processes received bytes before it runs a task
     */
    public SilenceDetector(Timers timers, Executor eventLoop, Runnable onSilent) {
        this.timers = timers;
        this.eventLoop = eventLoop;
        this.onSilent = onSilent;
    }

    /** Records that bytes of any kind were received. */
    public void onReceived() {
        receiveCount.incrementAndGet();
    }

    /** How often bytes were received so far; to be read when a call is sent. */
    public long receiveCount() {
        return receiveCount.get();
    }

    /**
     * Handles a call that had no response within its timeout.
     *
     * @param receiveCountAtSending the number of receptions when it was sent
     */
    public void onUnanswered(long receiveCountAtSending, Duration callTimeout) {
        if (receiveCount.get() != receiveCountAtSending) {
            return;
        }
        Duration remaining = LIMIT.minus(callTimeout);
        if (remaining.isNegative()) {
            checkSilence(receiveCountAtSending);
        } else {
            timers.after(remaining, () -> checkSilence(receiveCountAtSending));
        }
    }

    /** Runs on the event loop, so that bytes received while the process was paused are processed before this check. */
    private void checkSilence(long receiveCountAtSending) {
        eventLoop.execute(() -> {
            if (receiveCount.get() == receiveCountAtSending) {
                onSilent.run();
            }
        });
    }
}

package org.woadvale.common.rpc;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.woadvale.common.runtime.Timers;

/**
 * Finds out that the peer of an open connection is gone without a close or a reset, as after a loss of power or behind
 * a cut: a call ended without an answer, and nothing at all was received from its sending until {@link #LIMIT} later.
 * TCP alone would go on sending the lost bytes again, with pauses that double, while the peer may long be back and
 * reachable by a new connection.
 */
public final class SilenceDetector {
    /** Longer than the limits of ordinary calls, so that one slow answer is no silence. */
    public static final Duration LIMIT = Duration.ofSeconds(1);

    private final Timers timers;
    private final Executor eventLoop;
    private final Runnable onSilent;
    private final AtomicLong receiveCount = new AtomicLong();

    /**
     * The detector of one connection.
     *
     * @param eventLoop the connection's own; it takes in what has come before it runs a task
     */
    public SilenceDetector(Timers timers, Executor eventLoop, Runnable onSilent) {
        this.timers = timers;
        this.eventLoop = eventLoop;
        this.onSilent = onSilent;
    }

    /** Bytes of any kind have come. */
    public void onReceived() {
        receiveCount.incrementAndGet();
    }

    /** How often bytes have come so far; to be taken when a call is sent. */
    public long receiveCount() {
        return receiveCount.get();
    }

    /**
     * A call had no answer within its limit.
     *
     * @param receptionsAtSending the number of receptions when it was sent
     */
    public void onUnanswered(long receptionsAtSending, Duration callLimit) {
        if (receiveCount.get() != receptionsAtSending) {
            return;
        }
        Duration left = LIMIT.minus(callLimit);
        if (left.isNegative()) {
            decide(receptionsAtSending);
        } else {
            timers.after(left, () -> decide(receptionsAtSending));
        }
    }

    /** On the event loop: in a process that was paused, what came meanwhile has not been taken in before. */
    private void decide(long receptionsAtSending) {
        eventLoop.execute(() -> {
            if (receiveCount.get() == receptionsAtSending) {
                onSilent.run();
            }
        });
    }
}

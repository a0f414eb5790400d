package org.woadvale.dataplane;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.runtime.Clock;

/**
 * The planned stop of a data plane node, from its first step until its components may stop. Whoever runs the node calls
 * {@link #advance} repeatedly. A node in the store role first hands over its partitions, then waits until each delivery
 * that it has begun has ended by itself, at most until its answer could no longer be recorded within the grace period;
 * what is not answered by then is broken off, so that no outcome is read that cannot be recorded. (docs/design.md,
 * section 10.2)
 */
public final class PlannedStop {
    private static final Logger LOG = LogManager.getLogger(PlannedStop.class);
    private static final Duration HANDOVER_LIMIT = Duration.ofMillis(3500);
    /** Kept of the grace period for recording the outcomes that were read last. */
    private static final Duration RECORDING_RESERVE = Duration.ofMillis(500);
    /** Kept of the grace period for the stop of the components and the end of the process. */
    private static final Duration SHUTDOWN_RESERVE = Duration.ofSeconds(1);
    /** Each reserve is at most this part of the grace period. */
    private static final int MAX_RESERVE_DIVISOR = 4;
    /** For requests that arrived just before the node stopped taking them. */
    private static final Duration MIN_LINGER = Duration.ofMillis(100);

    private enum Step {
        HANDING_OVER,
        ENDING_DELIVERIES,
        RECORDING_OUTCOMES,
        LINGERING,
        DONE
    }

    private final Clock clock;
    private final DataPlaneNode node;
    private final Duration linger;
    private final Duration began;
    private final Duration answersLimit;
    private final Duration outcomesLimit;
    private Step step = Step.HANDING_OVER;
    private Duration stepBegan;

    /**
     * A stop that begins now.
     *
     * @param gracePeriod the time from now until the process is killed
     * @param linger how long from now the node keeps serving, if nothing else takes longer
     */
    public PlannedStop(Clock clock, DataPlaneNode node, Duration gracePeriod, Duration linger) {
        this.clock = clock;
        this.node = node;
        this.linger = linger;
        this.began = clock.monotonicTime();
        this.stepBegan = began;
        this.outcomesLimit = gracePeriod.minus(reserve(SHUTDOWN_RESERVE, gracePeriod));
        this.answersLimit = outcomesLimit.minus(reserve(RECORDING_RESERVE, gracePeriod));
    }

    private static Duration reserve(Duration wanted, Duration gracePeriod) {
        Duration limit = gracePeriod.dividedBy(MAX_RESERVE_DIVISOR);
        return wanted.compareTo(limit) < 0 ? wanted : limit;
    }

    /** Does what can be done now; returns true once the components of the node may stop. */
    public boolean advance() {
        // repeated in every step: a leadership may come back while the other stores are stopping too
        boolean handedOver = node.drain();
        if (step == Step.HANDING_OVER && (handedOver || hasLasted(HANDOVER_LIMIT) || hasLasted(answersLimit))) {
            node.endDeliveries();
            begin(Step.ENDING_DELIVERIES);
        }
        if (step == Step.ENDING_DELIVERIES && (node.idle() || hasLasted(answersLimit))) {
            if (!node.idle()) {
                LOG.warn("Deliveries without an answer are broken off, as the grace period ends.");
            }
            node.breakOffDeliveries();
            begin(Step.RECORDING_OUTCOMES);
        }
        if (step == Step.RECORDING_OUTCOMES && (node.idle() || hasLasted(outcomesLimit))) {
            if (!node.idle()) {
                LOG.error("Outcomes of deliveries could not be recorded within the grace period.");
            }
            begin(Step.LINGERING);
        }
        if (step == Step.LINGERING && hasLasted(linger) && stepHasLasted(MIN_LINGER)) {
            begin(Step.DONE);
        }
        return step == Step.DONE;
    }

    private boolean hasLasted(Duration limit) {
        return clock.monotonicTime().minus(began).compareTo(limit) >= 0;
    }

    private boolean stepHasLasted(Duration limit) {
        return clock.monotonicTime().minus(stepBegan).compareTo(limit) >= 0;
    }

    private void begin(Step next) {
        step = next;
        stepBegan = clock.monotonicTime();
    }
}

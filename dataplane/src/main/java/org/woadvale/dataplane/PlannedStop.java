package org.woadvale.dataplane;

import java.time.Duration;
import org.woadvale.common.runtime.Clock;

/**
 * The planned stop of a data plane node, from its first step until its components may stop. Whoever runs the node calls
 * {@link #advance} repeatedly; each step ends when it is done or its time is over. (docs/design.md, section 10.2)
 */
public final class PlannedStop {
    private static final Duration HANDOVER_LIMIT = Duration.ofMillis(3500);
    private static final Duration DELIVERIES_LIMIT = Duration.ofMillis(1500);
    private static final Duration MIN_LINGER = Duration.ofMillis(100);

    private enum Step {
        HANDING_OVER,
        ENDING_DELIVERIES,
        LINGERING,
        DONE
    }

    private final Clock clock;
    private final DataPlaneNode node;
    private final Duration linger;
    private Step step = Step.HANDING_OVER;
    private Duration stepBegan;

    /** A stop that begins now; {@code linger} is how long the node keeps serving after everything else is done. */
    public PlannedStop(Clock clock, DataPlaneNode node, Duration linger) {
        this.clock = clock;
        this.node = node;
        this.linger = linger.isZero() ? MIN_LINGER : linger;
        this.stepBegan = clock.monotonicTime();
    }

    /** Does what can be done now; returns true once the components of the node may stop. */
    public boolean advance() {
        if (step == Step.HANDING_OVER && (node.drain() || lasted(HANDOVER_LIMIT))) {
            begin(Step.ENDING_DELIVERIES);
        }
        if (step == Step.ENDING_DELIVERIES && (node.idle() || lasted(DELIVERIES_LIMIT))) {
            begin(Step.LINGERING);
        }
        if (step == Step.LINGERING && lasted(linger)) {
            begin(Step.DONE);
        }
        return step == Step.DONE;
    }

    private boolean lasted(Duration limit) {
        return clock.monotonicTime().minus(stepBegan).compareTo(limit) >= 0;
    }

    private void begin(Step next) {
        step = next;
        stepBegan = clock.monotonicTime();
    }
}

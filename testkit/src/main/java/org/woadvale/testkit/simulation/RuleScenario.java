package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.Rules;

/**
 * A rule, the failure that may break it, and the mechanism that keeps it: played as shipped and without the mechanism.
 */
public final class RuleScenario {
    private static final int NODES = 3;
    private static final Duration COMPLETION = Duration.ofSeconds(10);

    /** Brings the failure about on a simulated platform that is under way. */
    interface Failure {
        void play(PlatformSimulation platform) throws ServiceException;
    }

    public final String rule;
    public final String failure;
    public final String leftOut;
    private final Failure played;
    private final FleetOverrides without;

    RuleScenario(String rule, String failure, String leftOut, Failure played, FleetOverrides without) {
        this.rule = rule;
        this.failure = failure;
        this.leftOut = leftOut;
        this.played = played;
        this.without = without;
    }

    private Rules play(long seed, FleetOverrides seams) throws ServiceException {
        PlatformSimulation platform = new PlatformSimulation(seed, NODES, NODES, seams).startAll();
        played.play(platform);
        platform.end(COMPLETION);
        return new Rules(platform.seen);
    }

    /** What is broken as shipped: nothing, if all is well. */
    public List<String> shipped(long seed) throws ServiceException {
        return play(seed, FleetOverrides.none()).violations();
    }

    /** The rules that are broken without the mechanism: this one among them, if it is what keeps the rule. */
    public List<String> brokenWithout(long seed) throws ServiceException {
        return play(seed, without).broken();
    }

    @Override
    public String toString() {
        return rule;
    }
}

package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.Rules;

/** A rule, a failure that can break it and the mechanism that upholds it; runs as shipped and without the mechanism. */
public final class RuleScenario {
    private static final int NODES = 3;
    private static final Duration COMPLETION = Duration.ofSeconds(10);

    /** Injects the failure into a running simulated platform. */
    interface FailureScript {
        void play(PlatformSimulation platform) throws ServiceException;
    }

    public final String rule;
    public final String failure;
    public final String disabledMechanism;
    private final FailureScript script;
    private final FleetOverrides overrides;

    RuleScenario(String rule, String failure, String leftOut, FailureScript script, FleetOverrides overrides) {
        this.rule = rule;
        this.failure = failure;
        this.disabledMechanism = leftOut;
        this.script = script;
        this.overrides = overrides;
    }

    private Rules play(long seed, FleetOverrides overrides) throws ServiceException {
        PlatformSimulation platform = new PlatformSimulation(seed, NODES, NODES, overrides).startAll();
        script.play(platform);
        platform.end(COMPLETION);
        return new Rules(platform.observations);
    }

    /** The violations as shipped; empty if all rules hold. */
    public List<String> violations(long seed) throws ServiceException {
        return play(seed, FleetOverrides.none()).violations();
    }

    /** The rules that are broken without the mechanism; this rule is among them if the mechanism upholds it. */
    public List<String> violatedWithoutMechanism(long seed) throws ServiceException {
        return play(seed, overrides).broken();
    }

    @Override
    public String toString() {
        return rule;
    }
}

package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.woadvale.common.error.ServiceException;

/** The shipped code violates no rule; without the mechanism that enforces a rule, that rule is violated. */
class PlatformScenariosTest {
    private static final long MAX_SEEDS = 3;

    static List<RuleScenario> scenarios() {
        return PlatformScenarios.all();
    }

    /** Whether a violation shows depends on the work in flight at that moment: one of the first seeds must show it. */
    @ParameterizedTest
    @MethodSource("scenarios")
    void ruleHoldsAndIsViolatedWithoutItsMechanism(RuleScenario ruleScenario) throws ServiceException {
        List<String> violated = List.of();
        for (long seed = 1; seed <= MAX_SEEDS && !violated.contains(ruleScenario.rule); seed++) {
            assertEquals(List.of(), ruleScenario.violations(seed), ruleScenario.failure + ", seed " + seed);
            violated = ruleScenario.violatedWithoutMechanism(seed);
        }
        assertTrue(
                violated.contains(ruleScenario.rule),
                ruleScenario.failure + " without " + ruleScenario.disabledMechanism + ": " + violated);
    }
}

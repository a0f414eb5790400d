package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.woadvale.common.error.ServiceException;

/** As shipped nothing is broken; without the one mechanism that keeps it, the rule is. */
class PlatformScenariosTest {
    private static final long MOST_SEEDS = 3;

    static List<RuleScenario> scenarios() {
        return PlatformScenarios.all();
    }

    /** Whether the break shows depends on what is under way at the moment: it must in one of the first seeds. */
    @ParameterizedTest
    @MethodSource("scenarios")
    void shippedHoldsAndWithoutItsMechanismTheRuleBreaks(RuleScenario ruleScenario) throws ServiceException {
        List<String> broken = List.of();
        for (long seed = 1; seed <= MOST_SEEDS && !broken.contains(ruleScenario.rule); seed++) {
            assertEquals(List.of(), ruleScenario.shipped(seed), ruleScenario.failure + ", seed " + seed);
            broken = ruleScenario.brokenWithout(seed);
        }
        assertTrue(
                broken.contains(ruleScenario.rule),
                ruleScenario.failure + " without " + ruleScenario.leftOut + ": " + broken);
    }
}

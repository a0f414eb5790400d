package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.woadvale.common.runtime.ServiceException;

/** As shipped nothing is broken; without the one mechanism that keeps it, the rule is. */
class PlatformScenariosTest {
    static List<RuleScenario> scenarios() {
        return PlatformScenarios.all();
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void shippedHoldsAndWithoutItsMechanismTheRuleBreaks(RuleScenario p) throws ServiceException {
        assertEquals(List.of(), p.shipped(1), p.failure);
        List<String> broken = p.brokenWithout(1);
        assertTrue(broken.contains(p.rule), p.failure + " without " + p.leftOut + ": " + broken);
    }
}

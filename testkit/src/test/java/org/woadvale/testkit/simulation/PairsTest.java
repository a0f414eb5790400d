package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.woadvale.common.error.ServiceException;

/** Each rule of the never list holds in the shipped code and is violated without the mechanism that enforces it. */
class PairsTest {
    static Stream<Pairs.Pair> pairs() {
        return Pairs.all().stream();
    }

    @ParameterizedTest(name = "line {0}")
    @MethodSource("pairs")
    void ruleHoldsAndIsViolatedWithoutItsMechanism(Pairs.Pair pair) throws ServiceException {
        for (long seed = 1; seed <= 2; seed++) {
            assertEquals(List.of(), pair.violations(seed), pair.failure);
        }
        List<String> violated = pair.violatedWithoutMechanism(1);
        assertTrue(
                violated.contains(pair.invariant),
                () -> pair.failure + " without " + pair.disabledMechanism + " violated only " + violated);
    }

    @Test
    void everyRuleHasItsPair() {
        assertEquals(
                12, Pairs.all().stream().map(pair -> pair.invariant).distinct().count());
    }
}

package org.woadvale.trials.squall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.woadvale.foundation.lantern.Fault;

/** As shipped nothing is broken; without the one mechanism that keeps it, the rule is. */
class StraitsTest {
    static List<Straits.Pair> pairs() {
        return Straits.all();
    }

    @ParameterizedTest
    @MethodSource("pairs")
    void shippedHoldsAndWithoutItsMechanismTheRuleBreaks(Straits.Pair p) throws Fault {
        assertEquals(List.of(), p.shipped(1), p.failure);
        List<String> broken = p.brokenWithout(1);
        assertTrue(broken.contains(p.rule), p.failure + " without " + p.leftOut + ": " + broken);
    }
}

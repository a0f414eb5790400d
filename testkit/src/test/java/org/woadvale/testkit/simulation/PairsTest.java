package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.woadvale.common.runtime.ServiceException;

/** Each never-line fails without the mechanism that keeps it, and holds with it. */
class PairsTest {
    static Stream<Pairs.Pair> pairs() {
        return Pairs.all().stream();
    }

    @ParameterizedTest(name = "line {0}")
    @MethodSource("pairs")
    void lineHoldsAndBreaksWithoutItsMechanism(Pairs.Pair p) throws ServiceException {
        for (long seed = 1; seed <= 2; seed++) {
            assertEquals(List.of(), p.shipped(seed), p.failure);
        }
        List<String> broken = p.brokenWithout(1);
        assertTrue(broken.contains(p.line), () -> p.failure + " without " + p.leftOut + " broke only " + broken);
    }

    @Test
    void everyLineHasItsPair() {
        assertEquals(12, Pairs.all().stream().map(p -> p.line).distinct().count());
    }
}

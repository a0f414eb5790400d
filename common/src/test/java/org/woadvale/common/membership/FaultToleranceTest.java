package org.woadvale.common.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FaultToleranceTest {
    private static final FaultTolerance ONE_REGION =
            new FaultTolerance(0, 0, 1, Map.of("a1", "a", "a2", "a", "a3", "a", "b1", "b", "b2", "b", "c1", "c"));

    /** The losses at once are always less than half of a group. */
    @Test
    void groupSizeFollowsTheLargestLoss() {
        assertEquals(3, FaultTolerance.machines(0).groupSize());
        assertEquals(3, FaultTolerance.ONE_MACHINE.groupSize());
        assertEquals(5, FaultTolerance.machines(2).groupSize());
        assertEquals(5, new FaultTolerance(1, 2, 0, Map.of()).groupSize());
        assertEquals(7, new FaultTolerance(1, 2, 3, Map.of()).groupSize());
    }

    @Test
    void groupSizeIsOddIfMachinesAreMissing() {
        FaultTolerance two = FaultTolerance.machines(2);
        assertEquals(
                List.of(3, 3, 5, 5, 5),
                List.of(3, 4, 5, 6, 20).stream().map(two::attainableGroupSize).toList());
    }

    @Test
    void nextMemberGoesToTheLeastUsedZone() {
        assertEquals("z", first(FaultTolerance.ONE_MACHINE, List.of("x", "y", "x"), "x", "y", "z"));
        assertEquals("y", first(FaultTolerance.ONE_MACHINE, List.of("x", "y", "x", "z", "z"), "x", "y", "z"));
        assertEquals("c1", first(ONE_REGION, List.of("a1", "b1"), "a2", "a3", "b2", "c1"), "a region of its own");
        assertEquals("b2", first(ONE_REGION, List.of("a1", "a2", "b1"), "a3", "b2"), "the region with fewer");
    }

    private static String first(FaultTolerance tolerance, List<String> used, String... zones) {
        return List.of(zones).stream().min(tolerance.byLeastUsedZone(used)).orElseThrow();
    }

    /** Guards against a move that leaves a majority in one zone although the number of zones stays the same. */
    @Test
    void spreadConsidersTheFullestZone() {
        FaultTolerance two = FaultTolerance.machines(2);
        assertTrue(two.isAtLeastAsSpread(List.of("x", "x", "y"), List.of("x", "y", "z")));
        assertFalse(two.isAtLeastAsSpread(List.of("x", "y", "z"), List.of("x", "x", "y")));
        assertFalse(two.isAtLeastAsSpread(List.of("x", "x", "y", "y", "z"), List.of("x", "x", "x", "y", "z")));
        assertFalse(ONE_REGION.isAtLeastAsSpread(List.of("a1", "b1", "c1"), List.of("a1", "b1", "a2")));
    }
}

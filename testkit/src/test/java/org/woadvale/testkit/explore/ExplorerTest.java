package org.woadvale.testkit.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Enumerations bounded by states, so that each run is the same. (docs/design.md, section 12.4) */
@ExtendWith(QuietEngine.class)
class ExplorerTest {
    private static ExploreReport explore(StartState start, ExploreBounds bounds) {
        ModelSettings settings = ModelSettings.of(3);
        return new Explorer(settings, start.actions(settings), bounds).run();
    }

    @Test
    void everyScheduleOfAFewStepsFromALedGroup() {
        ExploreReport report = explore(StartState.LED, ExploreBounds.of(2, 2, 20_000));
        assertEquals(List.of(), report.violations());
        assertTrue(report.complete(), report.toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 4, 5})
    void theCalmCourseLeadsEveryGroup(int members) {
        assertTrue(StartState.LED.actions(ModelSettings.of(members)).size() > members);
    }

    @Test
    void oneDeviationAnywhereInTheFounding() {
        ExploreReport report = explore(StartState.EMPTY, ExploreBounds.of(50, 2, 3_000));
        assertEquals(List.of(), report.violations());
        assertEquals(3_000, report.states());
    }

    @Test
    void equalBoundsSeeEqualStates() {
        ExploreReport first = explore(StartState.LED, ExploreBounds.of(40, 1, 300));
        ExploreReport second = explore(StartState.LED, ExploreBounds.of(40, 1, 300));
        assertEquals(first.states(), second.states());
        assertEquals(first.steps(), second.steps());
    }
}

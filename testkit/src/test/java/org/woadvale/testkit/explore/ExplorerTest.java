package org.woadvale.testkit.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Enumerations without a time limit, so that runs are reproducible. (docs/design.md, section 12.4) */
@ExtendWith(EngineLoggingDisabled.class)
class ExplorerTest {
    private static ExploreReport explore(StartState start, ExploreBounds bounds) {
        ModelSettings settings = ModelSettings.of(3);
        return new Explorer(settings, start.actions(settings), bounds).run();
    }

    @Test
    void allShortSchedulesFromAnActiveLeaderKeepTheInvariants() {
        ExploreReport report = explore(StartState.LED, ExploreBounds.of(2, 2, 20_000));
        assertEquals(List.of(), report.violations());
        assertTrue(report.complete(), report.toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 4, 5})
    void defaultScheduleElectsALeader(int members) {
        assertTrue(StartState.LED.actions(ModelSettings.of(members)).size() > members);
    }

    @Test
    void boundedDeviationsDuringBootstrapKeepTheInvariants() {
        ExploreReport report = explore(StartState.EMPTY, ExploreBounds.of(50, 2, 3_000));
        assertEquals(List.of(), report.violations());
        assertEquals(3_000, report.states());
    }

    @Test
    void equalBoundsExploreEqualStates() {
        ExploreReport first = explore(StartState.LED, ExploreBounds.of(40, 1, 300));
        ExploreReport second = explore(StartState.LED, ExploreBounds.of(40, 1, 300));
        assertEquals(first.states(), second.states());
        assertEquals(first.steps(), second.steps());
    }
}

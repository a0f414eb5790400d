package org.woadvale.testkit.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that random walks detect each mutant by the invariant that it violates. (docs/design.md, section 12.4) */
@ExtendWith(EngineLoggingDisabled.class)
class MutantsTest {
    private static final int STEPS = 600;
    private static final int MAX_WALKS = 600;

    @ParameterizedTest
    @CsvSource({
        "long-lease, ONE_LEADER_ACTS",
        "stopping-clock, ONE_LEADER_ACTS",
        "forgotten-votes, ONE_LEADER_PER_TERM",
        "vote-for-shorter-log, COMMITTED_ENTRIES_STAY",
        "counted-without-promotion, COMMITTED_ENTRIES_STAY",
        "unsynced-log, COMMITTED_ON_A_MAJORITY",
        "snapshot-not-applied, STATE_MACHINES_AGREE",
        "whole-group-exchanged, GROUPS_INTERSECT",
        "second-change-under-way, ONE_CHANGE_AT_A_TIME",
        "founded-by-half, GROUPS_INTERSECT",
        "unsworn-candidate, ONLY_VOTERS_STAND",
        "lost-commands, NO_STALE_READ",
        "wrong-answers, LINEARIZABLE"
    })
    void randomWalksDetectTheMutant(String mutant, Invariant invariant) {
        ModelSettings unmodified = ModelSettings.of(3);
        Set<Invariant> found = EnumSet.noneOf(Invariant.class);
        long seed = 0;
        while (seed < MAX_WALKS && !found.contains(invariant)) {
            seed++;
            // some mutants keep state, so each walk needs a new instance
            ModelSettings mutated = unmodified.withMutant(Mutants.named(mutant));
            Optional<Violation> violation = new RandomWalk(mutated, seed).run(STEPS);
            violation.ifPresent(broken -> found.add(broken.invariant()));
        }
        assertTrue(found.contains(invariant), mutant + " violated " + found);
        assertEquals(
                Optional.empty(), new RandomWalk(unmodified, seed).run(STEPS), "the unmodified engine, seed " + seed);
    }
}

package org.woadvale.testkit.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Random walks with fixed seeds; the command {@code explore} runs more of them. (docs/design.md, section 12.4) */
@ExtendWith(EngineLoggingDisabled.class)
class RandomWalkTest {
    private static final int STEPS = 600;

    @ParameterizedTest
    @CsvSource({"3, 1, 60", "4, 101, 20", "5, 201, 20"})
    void invariantsHoldForFixedSeeds(int members, long firstSeed, int walks) {
        for (long seed = firstSeed; seed < firstSeed + walks; seed++) {
            Optional<Violation> violation = new RandomWalk(ModelSettings.of(members), seed).run(STEPS);
            assertEquals(Optional.empty(), violation, "seed " + seed);
        }
    }

    @Test
    void equalSeedsGiveEqualDigests() {
        assertEquals(digestAfter(7), digestAfter(7));
    }

    private static long digestAfter(long seed) {
        RandomWalk walk = new RandomWalk(ModelSettings.of(3), seed);
        walk.run(STEPS);
        return StateDigest.of(walk.cluster());
    }
}

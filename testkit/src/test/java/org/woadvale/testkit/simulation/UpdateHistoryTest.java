package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;

/**
 * The history of configuration changes in seeded simulations violates no ordering rule, and does if a rule of
 * docs/design.md, section 6.11 is left out.
 */
class UpdateHistoryTest {
    private static final Duration DURATION = Duration.ofSeconds(40);

    private static List<String> orderViolations(long seed, FleetOverrides overrides) {
        try {
            return new SeededPlatformDays(seed, overrides)
                    .run(DURATION).stream()
                            .filter(v -> v.startsWith("CONFIG orders"))
                            .toList();
        } catch (ServiceException failure) {
            throw new IllegalStateException(failure);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {201, 202, 203, 204})
    void historyHasNoOrderViolations(long seed) {
        assertEquals(List.of(), orderViolations(seed, FleetOverrides.none()));
    }

    @Test
    void changesWithoutRequestIdentityAreDetected() {
        assertTrue(
                LongStream.rangeClosed(201, 204)
                        .mapToObj(
                                seed -> orderViolations(seed, DisabledConfigurationMechanisms.withoutRequestIdentity()))
                        .anyMatch(v -> v.toString().contains("decided twice")),
                "the checks did not find a change that was decided twice");
    }

    @Test
    void readsWithoutTheLeaderAreDetected() {
        assertTrue(
                LongStream.rangeClosed(201, 204)
                        .mapToObj(seed -> orderViolations(seed, DisabledConfigurationMechanisms.readsWithoutLeader()))
                        .anyMatch(v -> v.toString().contains("stale reads")),
                "the checks did not find a stale read");
    }
}

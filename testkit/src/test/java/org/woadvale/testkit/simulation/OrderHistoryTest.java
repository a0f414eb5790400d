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

/** The operators' history of seeded days is in order, and is not where a rule of 6.11 is left out. */
class OrderHistoryTest {
    private static final Duration LENGTH = Duration.ofSeconds(40);

    private static List<String> brokenOrders(long seed, FleetOverrides seams) {
        try {
            return new SeededPlatformDays(seed, seams)
                    .run(LENGTH).stream()
                            .filter(v -> v.startsWith("CONFIG orders"))
                            .toList();
        } catch (ServiceException failure) {
            throw new IllegalStateException(failure);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {201, 202, 203, 204})
    void historyIsInOrder(long seed) {
        assertEquals(List.of(), brokenOrders(seed, FleetOverrides.none()));
    }

    @Test
    void ordersWithoutIdentityAreFound() {
        assertTrue(
                LongStream.rangeClosed(201, 204)
                        .mapToObj(seed -> brokenOrders(seed, NaiveOrders.withoutIdentity()))
                        .anyMatch(v -> v.toString().contains("decided twice")),
                "a repeat is refused, and nobody noticed");
    }

    @Test
    void readingsWithoutTheLeaderAreFound() {
        assertTrue(
                LongStream.rangeClosed(201, 204)
                        .mapToObj(seed -> brokenOrders(seed, NaiveOrders.readsWithoutLeader()))
                        .anyMatch(v -> v.toString().contains("stale reads")),
                "an old configuration is read, and nobody noticed");
    }
}

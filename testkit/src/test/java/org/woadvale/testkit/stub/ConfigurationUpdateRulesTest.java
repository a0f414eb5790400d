package org.woadvale.testkit.stub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each check of the operators' history finds the violation that it is meant for, and nothing in a valid history. */
class ConfigurationUpdateRulesTest {
    private final ObservationLog log = new ObservationLog();
    private long clock;

    private void call(String text, long base, long revision, int status) {
        log.orderCalls.add(new ObservationLog.OrderCall(text, base, revision, tick(), tick(), status));
    }

    private void read(String text) {
        log.configurationReads.add(new ObservationLog.ConfigurationRead(text, tick(), tick()));
    }

    private Duration tick() {
        return Duration.ofMillis(++clock);
    }

    private List<Integer> found() {
        ConfigurationUpdateRules rules = new ConfigurationUpdateRules(log);
        return List.of(
                rules.decidedTwice().size(),
                rules.lostUpdates().size(),
                rules.refusedInForce().size(),
                rules.staleReads().size());
    }

    @Test
    void validHistoryBreaksNoRule() {
        call("A", 0, 2, 200);
        call("B", 2, 5, 0);
        read("A");
        read("B");
        call("B", 2, 5, 200);
        call("C", 2, 5, 412);
        call("A", 0, 2, 200);
        call("D", 5, 6, 503);
        read("D");
        assertEquals(List.of(0, 0, 0, 0), found());
    }

    @Test
    void acknowledgedUpdateIsRefusedLater() {
        call("A", 0, 2, 200);
        call("A", 0, 2, 412);
        assertEquals(List.of(1, 0, 0, 0), found());
    }

    @Test
    void twoUpdatesOnOneBase() {
        call("A", 0, 2, 200);
        call("B", 2, 5, 200);
        call("C", 2, 5, 200);
        assertEquals(1, found().get(1));
        call("D", 4, 9, 200);
        assertEquals(2, found().get(1), "a base between two acknowledged revisions is stale too");
    }

    @Test
    void refusedConfigurationIsRead() {
        call("A", 0, 2, 200);
        call("B", 0, 3, 412);
        read("B");
        assertEquals(List.of(0, 0, 1, 0), found());
        read("never sent");
        assertEquals(2, found().get(2));
    }

    @Test
    void staleRead() {
        call("A", 0, 2, 200);
        call("B", 2, 5, 200);
        read("A");
        assertEquals(List.of(0, 0, 0, 1), found());
        call("C", 5, 7, 0);
        read("C");
        read("B");
        assertEquals(2, found().get(3));
    }
}

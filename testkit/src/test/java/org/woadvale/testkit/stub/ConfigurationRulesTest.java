package org.woadvale.testkit.stub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Each check of configurations and limits finds the violation that it is meant for, and no other check does. */
class ConfigurationRulesTest extends ObservationLogBuilder {
    @Test
    void withdrawnKeyRan() {
        configurationSubmitted(
                new ConfigurationStub(
                        2,
                        configurationStub(1, "a", "order").routes(),
                        configurationStub(1).services(),
                        List.of(new ConfigurationStub.Tenant("t", List.of("spare"), 1, 1))),
                1,
                true,
                200,
                20);
        log.troubles.add(new ObservationLog.Disruption("cut", s(20), s(40)));
        completed("1", "a", "", 24.9);
        assertBroken();
        completed("2", "a", "", 25.1);
        assertEquals(List.of("CONFIG revoked"), new Rules(log).broken());
    }

    @Test
    void configurationIgnored() {
        configurationSubmitted(configurationStub(2, "a", "order", "new"), 1, true, 200, 20);
        sent("1", "new", "k", "", 22.9);
        answered("1", 404, 22.95);
        assertBroken();
        sent("2", "new", "k", "", 23.1);
        answered("2", 404, 23.2);
        assertEquals(List.of("CONFIG ignored"), new Rules(log).broken());
    }

    @Test
    void droppedRouteServed() {
        configurationSubmitted(configurationStub(2, "order"), 1, true, 200, 20);
        sent("1", "a", "k", "", 23.1);
        answered("1", 202, 23.2);
        shown("1", "queued", "", 200, "body");
        assertBroken("CONFIG ignored");
    }

    @Test
    void nodeWentBack() {
        configurationSubmitted(configurationStub(2, "a", "order", "new"), 1, true, 200, 20);
        completed("1", "new", "", 20.5);
        sent("2", "new", "k", "", 21);
        answered("2", 404, 21.1);
        assertBroken("CONFIG back");
        log.killed.add(new ObservationLog.Killed("n1", s(20.8)));
        assertEquals(List.of(), new Rules(log).broken());
    }

    @Test
    void invalidOrConflictingConfigurationAcknowledged() {
        configurationSubmitted(configurationStub(2, "a", "order"), 1, false, 200, 20);
        assertBroken("CONFIG taken");
        log.configurations.remove(1);
        configurationSubmitted(configurationStub(2, "a", "order"), 1, true, 200, 20);
        configurationSubmitted(configurationStub(3, "a", "order"), 1, true, 200, 20);
        log.readBack.set(
                0,
                new ObservationLog.ReadBack(
                        200, configurationStub(3, "a", "order").text(), s(60)));
        assertEquals(List.of("CONFIG taken"), new Rules(log).broken());
    }

    @Test
    void olderConfigurationRead() {
        configurationSubmitted(configurationStub(2, "a", "order"), 1, true, 200, 20);
        assertBroken();
        for (String text : List.of(
                configurationStub(1, "a", "order").text(),
                configurationStub(2, "a").text(),
                "")) {
            log.readBack.set(0, new ObservationLog.ReadBack(200, text, s(60)));
            assertEquals(List.of("CONFIG read"), new Rules(log).broken(), text);
        }
    }

    @Test
    void tenantQuotaExceeded() {
        for (int i = 0; i < 26; i++) {
            completed("q" + i, "a", "", 10 + i * 0.1);
        }
        assertBroken();
        completed("q26", "a", "", 12.8);
        assertEquals(List.of("QUOTA"), new Rules(log).broken());
    }

    @Test
    void serviceRateExceeded() {
        for (int i = 0; i < 16; i++) {
            log.arrived.add(new ObservationLog.Arrived("1", "svc", "i", false, s(10 + i * 0.1)));
        }
        assertBroken();
        log.arrived.add(new ObservationLog.Arrived("1", "svc", "i", false, s(14.9)));
        assertEquals(List.of("CEILING"), new Rules(log).broken());
    }
}

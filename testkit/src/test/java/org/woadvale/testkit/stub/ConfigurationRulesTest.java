package org.woadvale.testkit.stub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Each check of configurations and limits sees the break that it is meant for, and no other does. */
class ConfigurationRulesTest extends ObservationLogBuilder {
    @Test
    void withdrawnKeyRan() {
        paper(
                new ConfigurationStub(
                        2,
                        configurationStub(1, "a", "order").routes(),
                        configurationStub(1).services(),
                        List.of(new ConfigurationStub.Tenant("t", List.of("spare"), 1, 1))),
                1,
                true,
                200,
                20);
        w.troubles.add(new ObservationLog.Trouble("cut", s(20), s(40)));
        done("1", "a", "", 24.9);
        breaks();
        done("2", "a", "", 25.1);
        assertEquals(List.of("CONFIG revoked"), new Rules(w).broken());
    }

    @Test
    void configurationIgnored() {
        paper(configurationStub(2, "a", "order", "new"), 1, true, 200, 20);
        sent("1", "new", "k", "", 22.9);
        said("1", 404, 22.95);
        breaks();
        sent("2", "new", "k", "", 23.1);
        said("2", 404, 23.2);
        assertEquals(List.of("CONFIG ignored"), new Rules(w).broken());
    }

    @Test
    void droppedRouteServed() {
        paper(configurationStub(2, "order"), 1, true, 200, 20);
        sent("1", "a", "k", "", 23.1);
        said("1", 202, 23.2);
        shown("1", "queued", "", 200, "body");
        breaks("CONFIG ignored");
    }

    @Test
    void nodeWentBack() {
        paper(configurationStub(2, "a", "order", "new"), 1, true, 200, 20);
        done("1", "new", "", 20.5);
        sent("2", "new", "k", "", 21);
        said("2", 404, 21.1);
        breaks("CONFIG back");
        w.killed.add(new ObservationLog.Killed("n1", s(20.8)));
        assertEquals(List.of(), new Rules(w).broken());
    }

    @Test
    void invalidOrLosingOneTaken() {
        paper(configurationStub(2, "a", "order"), 1, false, 200, 20);
        breaks("CONFIG taken");
        w.configurationStub.remove(1);
        paper(configurationStub(2, "a", "order"), 1, true, 200, 20);
        paper(configurationStub(3, "a", "order"), 1, true, 200, 20);
        w.readBack.set(
                0,
                new ObservationLog.ReadBack(
                        200, configurationStub(3, "a", "order").text(), s(60)));
        assertEquals(List.of("CONFIG taken"), new Rules(w).broken());
    }

    @Test
    void olderOneReadBack() {
        paper(configurationStub(2, "a", "order"), 1, true, 200, 20);
        breaks();
        for (String text : List.of(
                configurationStub(1, "a", "order").text(),
                configurationStub(2, "a").text(),
                "")) {
            w.readBack.set(0, new ObservationLog.ReadBack(200, text, s(60)));
            assertEquals(List.of("CONFIG read"), new Rules(w).broken(), text);
        }
    }

    @Test
    void tooManyOfATenant() {
        for (int i = 0; i < 26; i++) {
            done("q" + i, "a", "", 10 + i * 0.1);
        }
        breaks();
        done("q26", "a", "", 12.8);
        assertEquals(List.of("QUOTA"), new Rules(w).broken());
    }

    @Test
    void tooManyAtAService() {
        for (int i = 0; i < 16; i++) {
            w.arrived.add(new ObservationLog.Arrived("1", "svc", "i", false, s(10 + i * 0.1)));
        }
        breaks();
        w.arrived.add(new ObservationLog.Arrived("1", "svc", "i", false, s(14.9)));
        assertEquals(List.of("CEILING"), new Rules(w).broken());
    }
}

package org.woadvale.testkit.stub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Each check of runs and ends sees the break that it is meant for, and no other does. */
class RulesTest extends ObservationLogBuilder {
    @Test
    void goodDayBreaksNothing() {
        done("1", "a", "", 10);
        done("2", "order", "k1", 11);
        done("3", "order", "k1", 12);
        sent("4", "none", "k", "", 13);
        said("4", 404, 13.1);
        breaks();
    }

    @Test
    void laterOfAKeyBeganFirst() {
        accepted("1", "order", "k1", 10);
        shown("1", "queued", "", 200, "body");
        done("2", "order", "k1", 11);
        done("3", "order", "k2", 11);
        breaks("ORDER");
    }

    @Test
    void failedOftenEnoughLetsTheNextBegin() {
        accepted("1", "order", "k1", 10);
        for (int i = 0; i < 2; i++) {
            began("1", "order", "k1", 10.2 + i * 0.2);
            ended("1", 500, 10.2 + i * 0.2, 10.3 + i * 0.2);
        }
        shown("1", "dead_letter", "", 200, "body");
        done("2", "order", "k1", 11);
        breaks();
    }

    @Test
    void readSuccessRunsAgain() {
        done("1", "a", "", 10);
        w.read.add(new ObservationLog.Read("1", s(10.4)));
        began("1", "a", "", 12);
        breaks("TWICE read");
        w.troubles.add(new ObservationLog.Trouble("kill", s(11), s(11)));
        assertEquals(List.of(), new Rules(w).broken());
    }

    @Test
    void endsOfTwoLeases() {
        done("1", "a", "", 10);
        w.endsTaken.add(new ObservationLog.EndTaken("1", "l1", 200, s(11)));
        w.endsTaken.add(new ObservationLog.EndTaken("1", "l1", 200, s(11.2)));
        breaks();
        w.endsTaken.add(new ObservationLog.EndTaken("1", "l2", 200, s(12)));
        assertEquals(List.of("TWICE leases"), new Rules(w).broken());
    }

    @Test
    void refusedRan() {
        sent("1", "a", "k", "", 10);
        said("1", 503, 10.1);
        began("1", "a", "", 10.2);
        breaks("REFUSED");
    }

    @Test
    void changedOrUnsentOrOfAnotherTenant() {
        began("9", "a", "", 10);
        breaks("UNASKED");
        w.began.clear();
        done("1", "a", "", 10);
        w.began.add(new ObservationLog.Began("1", "svc", "t", "", "POST", "/a/x", "changed", s(10.1)));
        assertEquals(List.of("UNASKED"), new Rules(w).broken());
        w.began.set(1, new ObservationLog.Began("1", "svc", "another", "", "POST", "/a/x", "body", s(10.1)));
        assertEquals(List.of("UNASKED"), new Rules(w).broken());
    }

    @Test
    void ranWhereNoConfigurationEverAllowed() {
        done("1", "a", "", 10);
        w.began.add(new ObservationLog.Began("1", "other", "t", "", "POST", "/a/x", "body", s(10.2)));
        breaks("ROUTE");
    }

    @Test
    void leavingProcessorGotWork() {
        w.draining.add(new ObservationLog.Draining("i", s(10)));
        w.arrived.add(new ObservationLog.Arrived("1", "svc", "i", false, s(12.9)));
        w.arrived.add(new ObservationLog.Arrived("1", "svc", "i", true, s(13.5)));
        breaks();
        w.arrived.add(new ObservationLog.Arrived("1", "svc", "i", false, s(13.5)));
        assertEquals(List.of("DRAIN"), new Rules(w).broken());
    }

    @Test
    void acceptedAndGone() {
        accepted("1", "a", "", 10);
        breaks("LOST");
        shown("1", "queued", "", 200, "body");
        assertEquals(List.of(), new Rules(w).broken());
        w.shown.set(0, new ObservationLog.Shown("1", 200, "queued", "", 404, ""));
        assertEquals(List.of("LOST"), new Rules(w).broken());
    }

    @Test
    void noAnswerInCalmTimes() {
        sent("1", "a", "k", "", 10);
        said("1", 0, 16);
        breaks("LOST answers");
    }

    @Test
    void wrongWordsOfAMessage() {
        done("1", "a", "", 10);
        w.shown.set(0, new ObservationLog.Shown("1", 200, "completed", "another", 404, ""));
        breaks("MIXED");
        w.shown.set(0, new ObservationLog.Shown("1", 200, "completed", "seal", 200, "other bytes"));
        assertEquals(List.of("MIXED"), new Rules(w).broken());
        accepted("2", "a", "", 12);
        w.shown.set(0, new ObservationLog.Shown("1", 200, "completed", "seal", 404, ""));
        shown("2", "dead_letter", "", 200, "body");
        assertEquals(List.of("LOST", "MIXED"), new Rules(w).broken());
    }
}

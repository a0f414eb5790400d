package org.woadvale.testkit.stub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Each check of runs and ends finds the violation that it is meant for, and no other check does. */
class RulesTest extends ObservationLogBuilder {
    @Test
    void validHistoryBreaksNoRule() {
        completed("1", "a", "", 10);
        completed("2", "order", "k1", 11);
        completed("3", "order", "k1", 12);
        sent("4", "none", "k", "", 13);
        answered("4", 404, 13.1);
        assertBroken();
    }

    @Test
    void laterMessageOfAKeyRunsFirst() {
        accepted("1", "order", "k1", 10);
        shown("1", "queued", "", 200, "body");
        completed("2", "order", "k1", 11);
        completed("3", "order", "k2", 11);
        assertBroken("ORDER");
    }

    @Test
    void exhaustedAttemptsLetTheNextMessageRun() {
        accepted("1", "order", "k1", 10);
        for (int i = 0; i < 2; i++) {
            began("1", "order", "k1", 10.2 + i * 0.2);
            ended("1", 500, 10.2 + i * 0.2, 10.3 + i * 0.2);
        }
        shown("1", "dead_letter", "", 200, "body");
        completed("2", "order", "k1", 11);
        assertBroken();
    }

    @Test
    void readSuccessRunsAgain() {
        completed("1", "a", "", 10);
        log.read.add(new ObservationLog.Read("1", s(10.4)));
        began("1", "a", "", 12);
        assertBroken("TWICE read");
        log.troubles.add(new ObservationLog.Disruption("kill", s(11), s(11)));
        assertEquals(List.of(), new Rules(log).broken());
    }

    @Test
    void endsOfTwoLeases() {
        completed("1", "a", "", 10);
        log.endsTaken.add(new ObservationLog.LeaseEndAccepted("1", "l1", 200, s(11)));
        log.endsTaken.add(new ObservationLog.LeaseEndAccepted("1", "l1", 200, s(11.2)));
        assertBroken();
        log.endsTaken.add(new ObservationLog.LeaseEndAccepted("1", "l2", 200, s(12)));
        assertEquals(List.of("TWICE leases"), new Rules(log).broken());
    }

    @Test
    void refusedRan() {
        sent("1", "a", "k", "", 10);
        answered("1", 503, 10.1);
        began("1", "a", "", 10.2);
        assertBroken("REFUSED");
    }

    @Test
    void changedOrUnsentOrOtherTenantsRequestRan() {
        began("9", "a", "", 10);
        assertBroken("UNASKED");
        log.began.clear();
        completed("1", "a", "", 10);
        log.began.add(new ObservationLog.Began("1", "svc", "t", "", "POST", "/a/x", "changed", s(10.1)));
        assertEquals(List.of("UNASKED"), new Rules(log).broken());
        log.began.set(1, new ObservationLog.Began("1", "svc", "another", "", "POST", "/a/x", "body", s(10.1)));
        assertEquals(List.of("UNASKED"), new Rules(log).broken());
    }

    @Test
    void ranAtServiceOutsideEveryRoute() {
        completed("1", "a", "", 10);
        log.began.add(new ObservationLog.Began("1", "other", "t", "", "POST", "/a/x", "body", s(10.2)));
        assertBroken("ROUTE");
    }

    @Test
    void leavingProcessorGotWork() {
        log.draining.add(new ObservationLog.Draining("i", s(10)));
        log.arrived.add(new ObservationLog.Arrived("1", "svc", "i", false, s(12.9)));
        log.arrived.add(new ObservationLog.Arrived("1", "svc", "i", true, s(13.5)));
        assertBroken();
        log.arrived.add(new ObservationLog.Arrived("1", "svc", "i", false, s(13.5)));
        assertEquals(List.of("DRAIN"), new Rules(log).broken());
    }

    @Test
    void acceptedMessageLost() {
        accepted("1", "a", "", 10);
        assertBroken("LOST");
        shown("1", "queued", "", 200, "body");
        assertEquals(List.of(), new Rules(log).broken());
        log.shown.set(0, new ObservationLog.Shown("1", 200, "queued", "", 404, ""));
        assertEquals(List.of("LOST"), new Rules(log).broken());
    }

    @Test
    void unansweredWithoutDisruption() {
        sent("1", "a", "k", "", 10);
        answered("1", 0, 16);
        assertBroken("LOST answers");
    }

    @Test
    void wrongMessageStatus() {
        completed("1", "a", "", 10);
        log.shown.set(0, new ObservationLog.Shown("1", 200, "completed", "another", 404, ""));
        assertBroken("MIXED");
        log.shown.set(0, new ObservationLog.Shown("1", 200, "completed", "seal", 200, "other bytes"));
        assertEquals(List.of("MIXED"), new Rules(log).broken());
        accepted("2", "a", "", 12);
        log.shown.set(0, new ObservationLog.Shown("1", 200, "completed", "seal", 404, ""));
        shown("2", "dead_letter", "", 200, "body");
        assertEquals(List.of("LOST", "MIXED"), new Rules(log).broken());
    }
}

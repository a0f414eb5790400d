package org.woadvale.trials.buoy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each check sees the break that it is meant for, and nothing else does. */
class RulesTest {
    private static final String HOST = "h";
    private final Watchbook w = new Watchbook();

    private static Duration s(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }

    private static Papers papers(long revision, String... routes) {
        return new Papers(revision, List.of(routes).stream().map(r -> new Papers.Route(r, HOST, "/" + r + "/", "svc", 1500, 2,
            r.startsWith("order"), 90, false)).toList(), List.of(new Papers.Service("svc", 2, 9, false, false, Optional.empty())),
            List.of(new Papers.Tenant("t", List.of("k", "spare"), 1, 1)));
    }

    private void paper(Papers p, long base, boolean valid, int status, double at) {
        w.papers.add(new Watchbook.Paper(p, p.text(), base, valid, s(at), status, s(at)));
    }

    @BeforeEach
    void first() {
        paper(papers(1, "a", "order"), 0, true, 200, 1);
    }

    private void sent(String id, String route, String key, String order, double at) {
        w.sent.add(new Watchbook.Sent(id, HOST, "/" + route + "/x", key, order, "body", 0, "n1", s(at)));
    }

    private void said(String id, int status, double at) {
        w.said.add(new Watchbook.Said(id, status, "ref", s(at)));
    }

    private void accepted(String id, String route, String order, double at) {
        sent(id, route, "k", order, at);
        said(id, 202, at + 0.1);
    }

    private void began(String id, String route, String order, double at) {
        w.began.add(new Watchbook.Began(id, "svc", "t", order, "POST", "/" + route + "/x", "body", s(at)));
    }

    private void ended(String id, int status, double began, double at) {
        w.ended.add(new Watchbook.Ended(id, status, status == 200 ? "seal" : "", s(began), s(at)));
    }

    private void shown(String id, String state, String seal, int bodyStatus, String body) {
        w.shown.add(new Watchbook.Shown(id, 200, state, seal, bodyStatus, body));
    }

    private void done(String id, String route, String order, double at) {
        accepted(id, route, order, at);
        began(id, route, order, at + 0.2);
        ended(id, 200, at + 0.2, at + 0.3);
        shown(id, "completed", "seal", 404, "");
    }

    private void breaks(String... rules) {
        w.readBack.add(new Watchbook.ReadBack(200, w.papers.stream().filter(p -> p.status() == 200 && p.valid())
            .reduce((a, b) -> b).orElseThrow().text(), s(60)));
        assertEquals(List.of(rules), new Rules(w).broken(), new Rules(w).violations().toString());
    }

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
        w.read.add(new Watchbook.Read("1", s(10.4)));
        began("1", "a", "", 12);
        breaks("TWICE read");
        w.troubles.add(new Watchbook.Trouble("kill", s(11), s(11)));
        assertEquals(List.of(), new Rules(w).broken());
    }

    @Test
    void endsOfTwoLeases() {
        done("1", "a", "", 10);
        w.endsTaken.add(new Watchbook.EndTaken("1", "l1", 200, s(11)));
        w.endsTaken.add(new Watchbook.EndTaken("1", "l1", 200, s(11.2)));
        breaks();
        w.endsTaken.add(new Watchbook.EndTaken("1", "l2", 200, s(12)));
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
        w.began.add(new Watchbook.Began("1", "svc", "t", "", "POST", "/a/x", "changed", s(10.1)));
        assertEquals(List.of("UNASKED"), new Rules(w).broken());
        w.began.set(1, new Watchbook.Began("1", "svc", "another", "", "POST", "/a/x", "body", s(10.1)));
        assertEquals(List.of("UNASKED"), new Rules(w).broken());
    }

    @Test
    void ranWhereNoConfigurationEverAllowed() {
        done("1", "a", "", 10);
        w.began.add(new Watchbook.Began("1", "other", "t", "", "POST", "/a/x", "body", s(10.2)));
        breaks("ROUTE");
    }

    @Test
    void leavingProcessorGotWork() {
        w.draining.add(new Watchbook.Draining("i", s(10)));
        w.arrived.add(new Watchbook.Arrived("1", "svc", "i", false, s(12.9)));
        w.arrived.add(new Watchbook.Arrived("1", "svc", "i", true, s(13.5)));
        breaks();
        w.arrived.add(new Watchbook.Arrived("1", "svc", "i", false, s(13.5)));
        assertEquals(List.of("DRAIN"), new Rules(w).broken());
    }

    @Test
    void withdrawnKeyRan() {
        paper(new Papers(2, papers(1, "a", "order").routes(), papers(1).services(),
            List.of(new Papers.Tenant("t", List.of("spare"), 1, 1))), 1, true, 200, 20);
        w.troubles.add(new Watchbook.Trouble("cut", s(20), s(40)));
        done("1", "a", "", 24.9);
        breaks();
        done("2", "a", "", 25.1);
        assertEquals(List.of("CONFIG revoked"), new Rules(w).broken());
    }

    @Test
    void configurationIgnored() {
        paper(papers(2, "a", "order", "new"), 1, true, 200, 20);
        sent("1", "new", "k", "", 22.9);
        said("1", 404, 22.95);
        breaks();
        sent("2", "new", "k", "", 23.1);
        said("2", 404, 23.2);
        assertEquals(List.of("CONFIG ignored"), new Rules(w).broken());
    }

    @Test
    void droppedRouteServed() {
        paper(papers(2, "order"), 1, true, 200, 20);
        sent("1", "a", "k", "", 23.1);
        said("1", 202, 23.2);
        shown("1", "queued", "", 200, "body");
        breaks("CONFIG ignored");
    }

    @Test
    void nodeWentBack() {
        paper(papers(2, "a", "order", "new"), 1, true, 200, 20);
        done("1", "new", "", 20.5);
        sent("2", "new", "k", "", 21);
        said("2", 404, 21.1);
        breaks("CONFIG back");
        w.killed.add(new Watchbook.Killed("n1", s(20.8)));
        assertEquals(List.of(), new Rules(w).broken());
    }

    @Test
    void invalidOrLosingOneTaken() {
        paper(papers(2, "a", "order"), 1, false, 200, 20);
        breaks("CONFIG taken");
        w.papers.remove(1);
        paper(papers(2, "a", "order"), 1, true, 200, 20);
        paper(papers(3, "a", "order"), 1, true, 200, 20);
        w.readBack.set(0, new Watchbook.ReadBack(200, papers(3, "a", "order").text(), s(60)));
        assertEquals(List.of("CONFIG taken"), new Rules(w).broken());
    }

    @Test
    void olderOneReadBack() {
        paper(papers(2, "a", "order"), 1, true, 200, 20);
        breaks();
        for (String text : List.of(papers(1, "a", "order").text(), papers(2, "a").text(), "")) {
            w.readBack.set(0, new Watchbook.ReadBack(200, text, s(60)));
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
            w.arrived.add(new Watchbook.Arrived("1", "svc", "i", false, s(10 + i * 0.1)));
        }
        breaks();
        w.arrived.add(new Watchbook.Arrived("1", "svc", "i", false, s(14.9)));
        assertEquals(List.of("CEILING"), new Rules(w).broken());
    }

    @Test
    void acceptedAndGone() {
        accepted("1", "a", "", 10);
        breaks("LOST");
        shown("1", "queued", "", 200, "body");
        assertEquals(List.of(), new Rules(w).broken());
        w.shown.set(0, new Watchbook.Shown("1", 200, "queued", "", 404, ""));
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
        w.shown.set(0, new Watchbook.Shown("1", 200, "completed", "another", 404, ""));
        breaks("MIXED");
        w.shown.set(0, new Watchbook.Shown("1", 200, "completed", "seal", 200, "other bytes"));
        assertEquals(List.of("MIXED"), new Rules(w).broken());
        accepted("2", "a", "", 12);
        w.shown.set(0, new Watchbook.Shown("1", 200, "completed", "seal", 404, ""));
        shown("2", "dead_letter", "", 200, "body");
        assertEquals(List.of("LOST", "MIXED"), new Rules(w).broken());
    }
}

package org.woadvale.testkit.stub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;

/** Builds by hand the observations of a test run. */
abstract class ObservationLogBuilder {
    static final String HOST = "h";
    final ObservationLog log = new ObservationLog();

    static Duration s(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }

    static ConfigurationStub configurationStub(long revision, String... routes) {
        return new ConfigurationStub(
                revision,
                List.of(routes).stream()
                        .map(r -> new ConfigurationStub.Route(
                                r, HOST, "/" + r + "/", "svc", 1500, 2, r.startsWith("order"), 90, false))
                        .toList(),
                List.of(new ConfigurationStub.Service("svc", 2, 9, false, false, Optional.empty())),
                List.of(new ConfigurationStub.Tenant("t", List.of("k", "spare"), 1, 1)));
    }

    void configurationSubmitted(ConfigurationStub stub, long base, boolean valid, int status, double at) {
        log.configurations.add(
                new ObservationLog.ConfigurationSubmission(stub, stub.text(), base, valid, s(at), status, s(at)));
    }

    @BeforeEach
    void submitInitialConfiguration() {
        configurationSubmitted(configurationStub(1, "a", "order"), 0, true, 200, 1);
    }

    void sent(String id, String route, String key, String order, double at) {
        log.sent.add(new ObservationLog.Sent(id, HOST, "/" + route + "/x", key, order, "body", 0, "n1", s(at)));
    }

    void answered(String id, int status, double at) {
        log.submissionAnswers.add(new ObservationLog.SubmissionAnswer(id, status, "ref", s(at)));
    }

    void accepted(String id, String route, String order, double at) {
        sent(id, route, "k", order, at);
        answered(id, 202, at + 0.1);
    }

    void began(String id, String route, String order, double at) {
        log.began.add(new ObservationLog.Began(id, "svc", "t", order, "POST", "/" + route + "/x", "body", s(at)));
    }

    void ended(String id, int status, double began, double at) {
        log.ended.add(new ObservationLog.Ended(id, status, status == 200 ? "seal" : "", s(began), s(at)));
    }

    void shown(String id, String state, String seal, int bodyStatus, String body) {
        log.shown.add(new ObservationLog.Shown(id, 200, state, seal, bodyStatus, body));
    }

    void completed(String id, String route, String order, double at) {
        accepted(id, route, order, at);
        began(id, route, order, at + 0.2);
        ended(id, 200, at + 0.2, at + 0.3);
        shown(id, "completed", "seal", 404, "");
    }

    void assertBroken(String... rules) {
        log.readBack.add(new ObservationLog.ReadBack(
                200,
                log.configurations.stream()
                        .filter(submitted -> submitted.status() == 200 && submitted.valid())
                        .reduce((a, submitted) -> submitted)
                        .orElseThrow()
                        .text(),
                s(60)));
        assertEquals(
                List.of(rules),
                new Rules(log).broken(),
                new Rules(log).violations().toString());
    }
}

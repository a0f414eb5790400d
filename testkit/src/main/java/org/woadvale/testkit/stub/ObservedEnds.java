package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** When messages have ended, according to processors' answers, retention times and the configured routes. */
final class ObservedEnds {
    private final ObservationLog log;
    private final Map<String, ObservationLog.Sent> sent = new HashMap<>();
    private final Map<String, ObservationLog.SubmissionAnswer> accepted = new HashMap<>();
    private final Map<String, List<ObservationLog.Ended>> ended = new HashMap<>();

    ObservedEnds(ObservationLog log) {
        this.log = log;
        log.sent.forEach(s -> sent.put(s.id(), s));
        log.submissionAnswers.stream()
                .filter(answer -> answer.status() == 202)
                .forEach(answer -> accepted.put(answer.id(), answer));
        log.ended.forEach(
                e -> ended.computeIfAbsent(e.id(), k -> new ArrayList<>()).add(e));
    }

    Optional<ObservationLog.Sent> sent(String id) {
        return Optional.ofNullable(sent.get(id));
    }

    Map<String, ObservationLog.SubmissionAnswer> accepted() {
        return accepted;
    }

    /** The request's route in the first valid configuration that has one. */
    Optional<ConfigurationStub.Route> route(ObservationLog.Sent sent) {
        return log.configurations.stream()
                .filter(ObservationLog.ConfigurationSubmission::valid)
                .flatMap(submitted -> submitted.configuration().route(sent.host(), sent.path()).stream())
                .findFirst();
    }

    private int attempts(ObservationLog.Sent sent) {
        return route(sent).map(ConfigurationStub.Route::maxAttempts).orElse(1);
    }

    boolean succeeded(String id) {
        return ended.getOrDefault(id, List.of()).stream().anyMatch(ObservedEnds::success);
    }

    List<String> seals(String id) {
        return ended.getOrDefault(id, List.of()).stream()
                .filter(ObservedEnds::success)
                .map(ObservationLog.Ended::seal)
                .toList();
    }

    static boolean success(ObservationLog.Ended ended) {
        return ended.status() >= 200 && ended.status() < 300 && !ended.seal().isEmpty();
    }

    /** The earliest time at which the message may count as ended. */
    Optional<Duration> end(String id) {
        ObservationLog.Sent s = sent.get(id);
        List<ObservationLog.Ended> runs = ended.getOrDefault(id, List.of());
        List<Duration> out = new ArrayList<>();
        runs.stream()
                .filter(ended -> success(ended) || ended.status() == 422)
                .map(ObservationLog.Ended::at)
                .forEach(out::add);
        List<Duration> failed = runs.stream()
                .filter(ended -> ended.status() == 500)
                .map(ObservationLog.Ended::at)
                .sorted()
                .toList();
        if (failed.size() >= attempts(s)) {
            out.add(failed.get(attempts(s) - 1));
        }
        route(s).ifPresent(route -> out.add(s.at().plusMillis((long) (route.retentionS() * 1000))));
        log.configurations.stream()
                .filter(submitted -> submitted.valid()
                        && submitted.status() != 412
                        && submitted.sent().compareTo(s.at()) > 0
                        && submitted.configuration().route(s.host(), s.path()).isEmpty())
                .map(ObservationLog.ConfigurationSubmission::sent)
                .forEach(out::add);
        return out.stream().min(Duration::compareTo);
    }

    boolean endedBy(String id, Duration at) {
        return end(id).filter(e -> e.compareTo(at) <= 0).isPresent();
    }
}

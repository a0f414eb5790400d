package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks the final status of accepted messages, and requests that got no answer. */
final class EndRules {
    private final ObservationLog log;
    private final ObservedEnds ends;
    private final Map<String, ObservationLog.Shown> shown = new HashMap<>();

    EndRules(ObservationLog log) {
        this.log = log;
        this.ends = new ObservedEnds(log);
        log.shown.forEach(s -> shown.put(s.id(), s));
    }

    /** Accepted messages that have not ended, but whose body cannot be read or which are reported as ended. */
    List<String> lost() {
        List<String> out = new ArrayList<>();
        ends.accepted().keySet().forEach(id -> {
            ObservationLog.Shown s = shown.getOrDefault(id, new ObservationLog.Shown(id, 0, "", "", 0, ""));
            if (!ends.endedBy(id, lastReadTime())) {
                if (s.bodyStatus() != 200
                        || s.state().equals("completed")
                        || s.state().equals("dead_letter")) {
                    out.add(id + " was accepted, has not ended, and is shown as " + s);
                }
            }
        });
        return out;
    }

    private Duration lastReadTime() {
        return log.readBack.isEmpty()
                ? Duration.ofDays(1000)
                : log.readBack.get(log.readBack.size() - 1).at();
    }

    /** Requests without an answer although there was no disruption; planned stops are no excuse. */
    List<String> unanswered() {
        Map<String, ObservationLog.Sent> sent = new HashMap<>();
        log.sent.forEach(s -> sent.put(s.id(), s));
        return log.submissionAnswers.stream()
                .filter(answer -> answer.status() == 0
                        && sent.containsKey(answer.id())
                        && log.calm(sent.get(answer.id()).at(), answer.at()))
                .map(answer -> answer.id() + " sent at " + sent.get(answer.id()).at() + " to "
                        + sent.get(answer.id()).node() + " got no answer")
                .toList();
    }

    List<String> inconsistentAnswers() {
        List<String> out = new ArrayList<>();
        shown.values().forEach(shown -> {
            if (shown.state().equals("completed") && !ends.seals(shown.id()).contains(shown.seal())) {
                out.add(shown.id() + " is shown as completed with " + shown.seal() + ", but its runs returned "
                        + ends.seals(shown.id()));
            }
            if (shown.state().equals("dead_letter") && !ends.endedBy(shown.id(), lastReadTime())) {
                out.add(shown.id() + " is shown as dead_letter and has not ended");
            }
            if (shown.bodyStatus() == 200
                    && ends.sent(shown.id())
                            .filter(sent -> sent.body().equals(shown.body()))
                            .isEmpty()) {
                out.add(shown.id() + " was returned with a different body");
            }
        });
        log.submissionAnswers.stream()
                .filter(answer -> answer.status() >= 200 && answer.status() < 300 && answer.status() != 202)
                .forEach(answer -> out.add(answer.id() + " was answered " + answer.status()));
        return out;
    }
}

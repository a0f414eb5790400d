package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the system says of accepted messages at the day's end, and requests that got no answer. */
final class EndRules {
    private final ObservationLog log;
    private final Ends ends;
    private final Map<String, ObservationLog.Shown> shown = new HashMap<>();

    EndRules(ObservationLog log) {
        this.log = log;
        this.ends = new Ends(log);
        log.shown.forEach(s -> shown.put(s.id(), s));
    }

    /** Accepted, not ended, and its bytes do not come back. */
    List<String> lost() {
        List<String> out = new ArrayList<>();
        ends.accepted().keySet().forEach(id -> {
            ObservationLog.Shown s = shown.getOrDefault(id, new ObservationLog.Shown(id, 0, "", "", 0, ""));
            if (!ends.endedBy(id, lastLook())) {
                if (s.bodyStatus() != 200
                        || s.state().equals("completed")
                        || s.state().equals("dead_letter")) {
                    out.add(id + " was accepted, has not ended, and is shown as " + s);
                }
            }
        });
        return out;
    }

    private Duration lastLook() {
        return log.readBack.isEmpty()
                ? Duration.ofDays(1000)
                : log.readBack.get(log.readBack.size() - 1).at();
    }

    /** In calm times every request that was sent gets its answer, also around planned stops. */
    List<String> unanswered() {
        Map<String, ObservationLog.Sent> sent = new HashMap<>();
        log.sent.forEach(s -> sent.put(s.id(), s));
        return log.said.stream()
                .filter(said -> said.status() == 0
                        && sent.containsKey(said.id())
                        && log.calm(sent.get(said.id()).at(), said.at()))
                .map(said -> said.id() + " sent at " + sent.get(said.id()).at() + " to "
                        + sent.get(said.id()).node() + " got no answer")
                .toList();
    }

    List<String> mixed() {
        List<String> out = new ArrayList<>();
        shown.values().forEach(shown -> {
            if (shown.state().equals("completed") && !ends.seals(shown.id()).contains(shown.seal())) {
                out.add(shown.id() + " is shown as completed with " + shown.seal() + ", runs gave "
                        + ends.seals(shown.id()));
            }
            if (shown.state().equals("dead_letter") && !ends.endedBy(shown.id(), lastLook())) {
                out.add(shown.id() + " is shown as dead and has not ended");
            }
            if (shown.bodyStatus() == 200
                    && ends.sent(shown.id())
                            .filter(sent -> sent.body().equals(shown.body()))
                            .isEmpty()) {
                out.add(shown.id() + " came back with other bytes");
            }
        });
        log.said.stream()
                .filter(said -> said.status() >= 200 && said.status() < 300 && said.status() != 202)
                .forEach(said -> out.add(said.id() + " was answered " + said.status()));
        return out;
    }
}

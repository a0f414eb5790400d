package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the system says of accepted messages at the day's end, and requests that got no answer. */
final class EndRules {
    private final ObservationLog w;
    private final Ends ends;
    private final Map<String, ObservationLog.Shown> shown = new HashMap<>();

    EndRules(ObservationLog w) {
        this.w = w;
        this.ends = new Ends(w);
        w.shown.forEach(s -> shown.put(s.id(), s));
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
        return w.readBack.isEmpty()
                ? Duration.ofDays(1000)
                : w.readBack.get(w.readBack.size() - 1).at();
    }

    /** In calm times every request that was sent gets its answer, also around planned stops. */
    List<String> unanswered() {
        Map<String, ObservationLog.Sent> sent = new HashMap<>();
        w.sent.forEach(s -> sent.put(s.id(), s));
        return w.said.stream()
                .filter(a -> a.status() == 0
                        && sent.containsKey(a.id())
                        && w.calm(sent.get(a.id()).at(), a.at()))
                .map(a -> a.id() + " sent at " + sent.get(a.id()).at() + " to "
                        + sent.get(a.id()).node() + " got no answer")
                .toList();
    }

    List<String> mixed() {
        List<String> out = new ArrayList<>();
        shown.values().forEach(s -> {
            if (s.state().equals("completed") && !ends.seals(s.id()).contains(s.seal())) {
                out.add(s.id() + " is shown as completed with " + s.seal() + ", runs gave " + ends.seals(s.id()));
            }
            if (s.state().equals("dead_letter") && !ends.endedBy(s.id(), lastLook())) {
                out.add(s.id() + " is shown as dead and has not ended");
            }
            if (s.bodyStatus() == 200
                    && ends.sent(s.id()).filter(x -> x.body().equals(s.body())).isEmpty()) {
                out.add(s.id() + " came back with other bytes");
            }
        });
        w.said.stream()
                .filter(a -> a.status() >= 200 && a.status() < 300 && a.status() != 202)
                .forEach(a -> out.add(a.id() + " was answered " + a.status()));
        return out;
    }
}

package org.woadvale.testkit.stub;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** A message that is shown as failed needs a reason that was seen outside; else it was lost. */
final class Reasons {
    private final Observations s;
    private final Set<String> refused;
    private final Map<String, Set<Integer>> tried = new HashMap<>();

    Reasons(Observations s) {
        this.s = s;
        this.refused = s.copy(s.answered).stream()
                .filter(a -> !a.success())
                .map(Observations.Answered::handle)
                .collect(Collectors.toSet());
        s.copy(s.ran).forEach(r -> tried(r.handle(), r.attempt()));
        s.copy(s.turnedAway).forEach(r -> tried(r.handle(), r.attempt()));
    }

    private void tried(String handle, int attempt) {
        tried.computeIfAbsent(handle, h -> new TreeSet<>()).add(attempt);
    }

    List<String> unfounded() {
        return s.copy(s.shown).stream()
                .filter(x -> x.state().equals("failed"))
                .filter(x -> !founded(x))
                .map(x -> x.handle() + " failed without a reason: " + x.proof())
                .distinct()
                .toList();
    }

    private boolean founded(Observations.Shown x) {
        Optional<Observations.LaneLimits> lane = Optional.ofNullable(s.lanes().get(x.lane()));
        if (x.proof().startsWith("attempts used up")) {
            return lane.map(l -> tried.getOrDefault(x.handle(), Set.of()).size() >= l.attempts())
                    .orElse(true);
        }
        if (x.proof().startsWith("time limit")) {
            boolean stamped = !x.accepted().isNegative() && !x.ended().isNegative();
            return !stamped
                    || lane.map(l -> x.ended().minus(x.accepted()).toMillis() >= l.timeLimitMs())
                            .orElse(true);
        }
        // an unclear end needs an attempt that may have been sent; that it was sent is not always seen outside
        return x.proof().startsWith("unclear") || refused.contains(x.handle());
    }
}

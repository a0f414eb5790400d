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
    private final Observations observations;
    private final Set<String> refused;
    private final Map<String, Set<Integer>> tried = new HashMap<>();

    Reasons(Observations observations) {
        this.observations = observations;
        this.refused = observations.copy(observations.answered).stream()
                .filter(answered -> !answered.success())
                .map(Observations.Answered::handle)
                .collect(Collectors.toSet());
        observations.copy(observations.ran).forEach(ran -> tried(ran.handle(), ran.attempt()));
        observations
                .copy(observations.turnedAway)
                .forEach(turnedAway -> tried(turnedAway.handle(), turnedAway.attempt()));
    }

    private void tried(String handle, int attempt) {
        tried.computeIfAbsent(handle, h -> new TreeSet<>()).add(attempt);
    }

    List<String> unfounded() {
        return observations.copy(observations.shown).stream()
                .filter(shown -> shown.state().equals("failed"))
                .filter(shown -> !founded(shown))
                .map(shown -> shown.handle() + " failed without a reason: " + shown.proof())
                .distinct()
                .toList();
    }

    private boolean founded(Observations.Shown shown) {
        Optional<Observations.LaneLimits> lane =
                Optional.ofNullable(observations.lanes().get(shown.lane()));
        if (shown.proof().startsWith("attempts used up")) {
            return lane.map(limits ->
                            tried.getOrDefault(shown.handle(), Set.of()).size() >= limits.attempts())
                    .orElse(true);
        }
        if (shown.proof().startsWith("time limit")) {
            boolean stamped = !shown.accepted().isNegative() && !shown.ended().isNegative();
            return !stamped
                    || lane.map(limits -> shown.ended().minus(shown.accepted()).toMillis() >= limits.timeLimitMs())
                            .orElse(true);
        }
        // an unclear end needs an attempt that may have been sent; that it was sent is not always seen outside
        return shown.proof().startsWith("unclear") || refused.contains(shown.handle());
    }
}

package org.woadvale.testkit.stub;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Checks that every message reported as failed has a reason observed from outside; otherwise it counts as lost. */
final class FailureReasons {
    private final Observations observations;
    private final Set<String> refused;
    private final Map<String, Set<Integer>> attempts = new HashMap<>();

    FailureReasons(Observations observations) {
        this.observations = observations;
        this.refused = observations.copy(observations.answered).stream()
                .filter(answered -> !answered.success())
                .map(Observations.RunAnswered::handle)
                .collect(Collectors.toSet());
        observations.copy(observations.ran).forEach(ran -> recordAttempt(ran.handle(), ran.attempt()));
        observations
                .copy(observations.turnedAway)
                .forEach(turnedAway -> recordAttempt(turnedAway.handle(), turnedAway.attempt()));
    }

    private void recordAttempt(String handle, int attempt) {
        attempts.computeIfAbsent(handle, h -> new TreeSet<>()).add(attempt);
    }

    List<String> unsupportedFailures() {
        return observations.copy(observations.shown).stream()
                .filter(shown -> shown.state().equals("failed"))
                .filter(shown -> !isSupported(shown))
                .map(shown -> shown.handle() + " was reported as failed without an observed reason: " + shown.proof())
                .distinct()
                .toList();
    }

    private boolean isSupported(Observations.StatusRead shown) {
        Optional<Observations.LaneLimits> lane =
                Optional.ofNullable(observations.lanes().get(shown.lane()));
        if (shown.proof().startsWith("attempts used up")) {
            return lane.map(limits ->
                            attempts.getOrDefault(shown.handle(), Set.of()).size() >= limits.attempts())
                    .orElse(true);
        }
        if (shown.proof().startsWith("time limit")) {
            boolean hasTimes = !shown.accepted().isNegative() && !shown.ended().isNegative();
            return !hasTimes
                    || lane.map(limits -> shown.ended().minus(shown.accepted()).toMillis() >= limits.timeLimitMs())
                            .orElse(true);
        }
        // an unknown outcome requires an attempt that may have been sent, which is not always visible from outside
        return shown.proof().startsWith("unclear") || refused.contains(shown.handle());
    }
}

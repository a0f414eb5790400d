package org.woadvale.controlplane.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.rpc.FirstFormatName;

/**
 * Outcomes of the latest commands with a request id in one control partition, so that a resent command gets the outcome
 * of its first application. Bounded; commands without an id (0) are not remembered.
 */
public final class AppliedRequests {
    /** Maximum number of remembered outcomes. */
    public static final int CAPACITY = 256;

    /**
     * The outcome of the first application of a command, with the term of the singleton lease that it acquired, or 0.
     */
    public record Outcome(
            long requestId,
            boolean accepted,
            @FirstFormatName("dutyTerm") long singletonTerm) {}

    private final Map<Long, Outcome> outcomes = new LinkedHashMap<>();

    Optional<Outcome> outcome(long requestId) {
        return Optional.ofNullable(outcomes.get(requestId));
    }

    /** The term of the singleton lease that the command acquired; 0 if it acquired none or is not remembered. */
    public long singletonTerm(long requestId) {
        return outcome(requestId).map(Outcome::singletonTerm).orElse(0L);
    }

    void remember(Outcome outcome) {
        if (outcome.requestId() == 0) {
            return;
        }
        outcomes.put(outcome.requestId(), outcome);
        if (outcomes.size() > CAPACITY) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
    }

    /** The remembered outcomes, oldest first. */
    public List<Outcome> all() {
        return new ArrayList<>(outcomes.values());
    }

    void restore(List<Outcome> from) {
        outcomes.clear();
        from.forEach(this::remember);
    }
}

package org.woadvale.controlplane.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.rpc.FirstFormatName;

/**
 * Outcomes of the latest identified commands of one control partition, so that a command that was sent again has the
 * outcome of its first application. Bounded; commands without an id (0) are not remembered. design 6.11
 */
public final class AppliedRequests {
    public static final int CAPACITY = 256;

    /** What the first application of a command came to; the term of a duty that it took, or 0. */
    public record Outcome(
            long requestId,
            boolean accepted,
            @FirstFormatName("dutyTerm") long singletonTerm) {}

    private final Map<Long, Outcome> outcomes = new LinkedHashMap<>();

    Optional<Outcome> outcome(long requestId) {
        return Optional.ofNullable(outcomes.get(requestId));
    }

    /** The term of the duty that the command took; 0 if it took none or is not remembered. */
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

    public List<Outcome> all() {
        return new ArrayList<>(outcomes.values());
    }

    void restore(List<Outcome> from) {
        outcomes.clear();
        from.forEach(this::remember);
    }
}

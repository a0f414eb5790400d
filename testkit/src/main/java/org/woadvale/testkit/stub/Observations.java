package org.woadvale.testkit.stub;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** What callers, backends and operators observed from outside; the checks read nothing else. */
public final class Observations {
    /** A time that was not observed. */
    public static final Duration UNSEEN = Duration.ofSeconds(-1);

    public enum SubmissionOutcome {
        ACCEPTED,
        REFUSED,
        UNKNOWN
    }

    /** One submission by one caller; a retry with the same id is a separate submission. */
    public record Submitted(
            String tenant,
            String id,
            String lane,
            String orderKey,
            String key,
            Duration sent,
            Duration answered,
            SubmissionOutcome outcome,
            String kind,
            String handle,
            boolean repeated) {}

    public record RunStarted(
            String handle,
            String callerId,
            String tenant,
            String lane,
            String orderKey,
            int attempt,
            String processor,
            String service,
            Duration begun) {}

    /** A run ended with an answer: success or refusal. */
    public record RunAnswered(
            String handle, int attempt, String processor, Duration at, boolean success, String receipt) {}

    /** A run ended without an answer because its processor crashed. */
    public record RunAborted(String handle, Duration at) {}

    /** A backend answered "retry later" and did nothing. */
    public record AttemptRejected(String handle, int attempt, Duration at) {}

    /** A message's status as shown to a caller; the owner's timestamps, where known, are converted to test time. */
    public record StatusRead(
            String handle,
            String state,
            String proof,
            String lane,
            Duration asked,
            Duration at,
            Duration accepted,
            Duration ended) {
        public boolean isTerminal() {
            return state.equals("done") || state.equals("failed");
        }

        /** From the answer to a GET; {@code clock} converts the owner's timestamps, or returns {@link #UNSEEN}. */
        public static StatusRead read(
                String handle, JsonNode node, Duration asked, Duration at, Function<Instant, Duration> clock) {
            return new StatusRead(
                    handle,
                    node.path("state").asText(),
                    node.path("proof").asText(node.path("note").asText("")),
                    node.path("lane").asText(),
                    asked,
                    at,
                    stamp(node, "accepted", clock),
                    stamp(node, "ended", clock));
        }

        private static Duration stamp(JsonNode node, String field, Function<Instant, Duration> clock) {
            return node.hasNonNull(field)
                    ? clock.apply(Instant.parse(node.path(field).asText()))
                    : UNSEEN;
        }
    }

    public record ConfigurationAnswer(
            String requestId, long version, boolean accepted, boolean valid, Duration at, String digest) {}

    public record ConfigurationRead(long version, String digest, Duration asked) {}

    public record KeyWithdrawn(String key, Duration acknowledged) {}

    /** A request, other than a submission, that was served under a key. */
    public record RequestServed(String key, String what, Duration answered) {}

    public record MarkedLeaving(String processor, Duration acknowledged) {}

    /** The platform sent a processor list without the leaving mark, which may be cleared from then on. */
    public record Listed(String processor, Duration sent) {}

    public record RequestAtEndpoint(String service, Duration at) {}

    public record IgnoredConfiguration(String what, Duration acknowledged, Duration seenIgnored) {}

    /** The configuration version that a node reports; a restarted node counts as the same node. */
    public record NodeVersion(String node, long version, Duration at) {}

    public record Outage(Duration restarted, Duration served) {}

    /** A limit set by the operator; it may be in force as soon as the change is sent. */
    public record Limit(double rate, double burst, Duration sent, Duration acknowledged) {}

    /** The lowest time limit and number of attempts that a lane had during the test run. */
    public record LaneLimits(long timeLimitMs, int attempts) {
        LaneLimits lowest(LaneLimits limits) {
            return new LaneLimits(Math.min(timeLimitMs, limits.timeLimitMs), Math.min(attempts, limits.attempts));
        }
    }

    public final List<Submitted> submitted = new ArrayList<>();
    public final List<RunStarted> ran = new ArrayList<>();
    public final List<RunAnswered> answered = new ArrayList<>();
    public final List<RunAborted> died = new ArrayList<>();
    public final List<AttemptRejected> turnedAway = new ArrayList<>();
    public final List<StatusRead> shown = new ArrayList<>();
    public final List<ConfigurationAnswer> configurations = new ArrayList<>();
    public final List<ConfigurationRead> reads = new ArrayList<>();
    public final List<KeyWithdrawn> keys = new ArrayList<>();
    public final List<RequestServed> served = new ArrayList<>();
    public final List<MarkedLeaving> leaving = new ArrayList<>();
    public final List<Listed> listed = new ArrayList<>();
    public final List<RequestAtEndpoint> endpoints = new ArrayList<>();
    public final List<IgnoredConfiguration> ignored = new ArrayList<>();
    public final List<NodeVersion> versions = new ArrayList<>();
    public final List<Outage> outages = new ArrayList<>();
    /** Limits by tenant, by endpoint and by lane, as the operator set them. */
    private final Map<String, List<Limit>> allowances = new HashMap<>();

    private final Map<String, List<Limit>> rates = new HashMap<>();
    private final Map<String, LaneLimits> lanes = new HashMap<>();

    public synchronized <T> void append(List<T> list, T observation) {
        list.add(observation);
    }

    public synchronized <T> List<T> copy(List<T> list) {
        return List.copyOf(list);
    }

    public synchronized void tenantLimit(String tenant, Limit limit) {
        allowances.computeIfAbsent(tenant, t -> new ArrayList<>()).add(limit);
    }

    public synchronized void endpointLimit(String endpoint, Limit limit) {
        rates.computeIfAbsent(endpoint, t -> new ArrayList<>()).add(limit);
    }

    public synchronized void lane(String lane, LaneLimits limits) {
        lanes.merge(lane, limits, LaneLimits::lowest);
    }

    public synchronized Map<String, List<Limit>> allowances() {
        return new HashMap<>(allowances);
    }

    public synchronized Map<String, List<Limit>> rates() {
        return new HashMap<>(rates);
    }

    public synchronized Map<String, LaneLimits> lanes() {
        return new HashMap<>(lanes);
    }
}

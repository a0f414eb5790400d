package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** What the platform's clients, processors and operator observed, in simulation time; no internal state. */
public final class ObservationLog {
    public record Sent(
            String id,
            String host,
            String path,
            String key,
            String orderKey,
            String body,
            long delayMs,
            String node,
            Duration at) {}

    /** The answer to a submission; status 0 means no answer. */
    public record SubmissionAnswer(String id, int status, String ref, Duration at) {}

    /** A request that reached a push processor; {@code turnedAway} means that it answered 421. */
    public record Arrived(String id, String service, String instance, boolean turnedAway, Duration at) {}

    public record Began(
            String id,
            String service,
            String tenant,
            String orderKey,
            String method,
            String path,
            String body,
            Duration at) {}

    /** The processor's answer to a run; status 0 means that the run was aborted. */
    public record Ended(String id, int status, String seal, Duration began, Duration at) {}

    /** A sender has read that the message succeeded. */
    public record Read(String id, Duration at) {}

    /** The end of a lease was accepted with 200. */
    public record LeaseEndAccepted(String id, String lease, int outcome, Duration at) {}

    /** The final status of a message; status 0 means no answer. */
    public record Shown(String id, int status, String state, String seal, int bodyStatus, String body) {}

    /** A submitted configuration; status 0 means no clear answer. */
    public record ConfigurationSubmission(
            ConfigurationStub configuration,
            String text,
            long base,
            boolean valid,
            Duration sent,
            int status,
            Duration answered) {}

    /** One attempt at a configuration update, identified by its text and base; status 0 means no answer. */
    public record OrderCall(String text, long base, long revision, Duration sent, Duration answered, int status) {}

    /** A read of the configuration that was answered with 200. */
    public record ConfigurationRead(String text, Duration sent, Duration answered) {}

    public record ReadBack(int status, String text, Duration at) {}

    /** The time from which the processor list shows the instance as draining, or no longer shows it. */
    public record Draining(String instance, Duration shown) {}

    /** An unplanned disruption. */
    public record Disruption(String what, Duration from, Duration until) {}

    /** The end of one incarnation of a node. */
    public record Killed(String node, Duration at) {}

    public final List<Sent> sent = new ArrayList<>();
    public final List<SubmissionAnswer> submissionAnswers = new ArrayList<>();
    public final List<Arrived> arrived = new ArrayList<>();
    public final List<Began> began = new ArrayList<>();
    public final List<Ended> ended = new ArrayList<>();
    public final List<Read> read = new ArrayList<>();
    public final List<LeaseEndAccepted> endsTaken = new ArrayList<>();
    public final List<Shown> shown = new ArrayList<>();
    public final List<ConfigurationSubmission> configurations = new ArrayList<>();
    public final List<OrderCall> orderCalls = new ArrayList<>();
    public final List<ConfigurationRead> configurationReads = new ArrayList<>();
    public final List<ReadBack> readBack = new ArrayList<>();
    public final List<Draining> draining = new ArrayList<>();
    public final List<Disruption> troubles = new ArrayList<>();
    public final List<Killed> killed = new ArrayList<>();

    /** Whether no disruption overlapped the period, which is extended by {@link Bounds#CONTACT} at its start. */
    public boolean calm(Duration from, Duration until) {
        Duration extendedFrom = from.minus(Bounds.CONTACT);
        return troubles.stream()
                .noneMatch(trouble -> trouble.until().compareTo(extendedFrom) > 0
                        && trouble.from().compareTo(until) <= 0);
    }

    /**
     * Configurations that may apply to a request in a period: the one that was newest {@link Bounds#APPLY} before its
     * start, and all submitted later.
     */
    public List<ConfigurationStub> ruling(Duration from, Duration until) {
        Duration appliedBy = from.minus(Bounds.APPLY);
        long newest = configurations.stream()
                .filter(submitted ->
                        submitted.status() == 200 && submitted.answered().compareTo(appliedBy) < 0)
                .mapToLong(submitted -> submitted.configuration().configRevision())
                .max()
                .orElse(0);
        return configurations.stream()
                .filter(submitted -> submitted.valid()
                        && (submitted.status() == 200 || submitted.status() == 0)
                        && submitted.configuration().configRevision() >= newest
                        && submitted.sent().compareTo(until) <= 0)
                .map(ConfigurationSubmission::configuration)
                .toList();
    }

    /** The bounds that the platform's requirements set. */
    public static final class Bounds {
        public static final Duration CONTACT = Duration.ofMillis(4000);
        public static final Duration APPLY = Duration.ofMillis(3000);
        public static final Duration REVOKE = Duration.ofMillis(5000);
        public static final Duration DRAIN = Duration.ofMillis(3000);
        public static final Duration BACK = Duration.ofMillis(250);
        public static final Duration WINDOW = Duration.ofSeconds(5);
        public static final Duration BEFORE_TIMEOUT = Duration.ofMillis(50);
        public static final double QUOTA_OVERRUN = 0.1;
        public static final double QUOTA_SLACK = 20;
        public static final double CEILING_OVERRUN = 1.1;
        public static final double CEILING_SLACK = 5;

        private Bounds() {}
    }
}

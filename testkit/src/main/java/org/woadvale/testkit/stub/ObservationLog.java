package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** What the platform's clients, processors and operator saw, in true time; nothing of the system's inside. */
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

    /** Status 0: no answer. */
    public record Said(String id, int status, String ref, Duration at) {}

    /** Whatever reaches a pushed-to processor; turned away: it said 421. */
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

    /** The processor's answer to a run: status and seal; zero for one that it broke off. */
    public record Ended(String id, int status, String seal, Duration began, Duration at) {}

    /** A sender has read a success. */
    public record Read(String id, Duration at) {}

    /** The end of a lease was taken with 200. */
    public record EndTaken(String id, String lease, int outcome, Duration at) {}

    /** The last word on a message at the day's end; status 0: no answer. */
    public record Shown(String id, int status, String state, String seal, int bodyStatus, String body) {}

    /** A configuration that was sent; status 0: no clear answer. */
    public record Paper(
            ConfigurationStub configurationStub,
            String text,
            long base,
            boolean valid,
            Duration sent,
            int status,
            Duration answered) {}

    /** One try of an order, known by its text and base; status 0: no answer. */
    public record OrderCall(String text, long base, long revision, Duration sent, Duration answered, int status) {}

    /** A reading of the configuration that was answered with 200. */
    public record ConfigurationRead(String text, Duration sent, Duration answered) {}

    public record ReadBack(int status, String text, Duration at) {}

    /** From when on the list shows it as draining or no more. */
    public record Draining(String instance, Duration shown) {}

    /** Unplanned trouble; a life of a node ends with a kill. */
    public record Trouble(String what, Duration from, Duration until) {}

    public record Killed(String node, Duration at) {}

    public final List<Sent> sent = new ArrayList<>();
    public final List<Said> said = new ArrayList<>();
    public final List<Arrived> arrived = new ArrayList<>();
    public final List<Began> began = new ArrayList<>();
    public final List<Ended> ended = new ArrayList<>();
    public final List<Read> read = new ArrayList<>();
    public final List<EndTaken> endsTaken = new ArrayList<>();
    public final List<Shown> shown = new ArrayList<>();
    public final List<Paper> configurationStub = new ArrayList<>();
    public final List<OrderCall> orderCalls = new ArrayList<>();
    public final List<ConfigurationRead> configurationReads = new ArrayList<>();
    public final List<ReadBack> readBack = new ArrayList<>();
    public final List<Draining> draining = new ArrayList<>();
    public final List<Trouble> troubles = new ArrayList<>();
    public final List<Killed> killed = new ArrayList<>();

    /** No unplanned trouble anywhere from the contact time before the first moment until the second. */
    public boolean calm(Duration from, Duration until) {
        Duration since = from.minus(Bounds.CONTACT);
        return troubles.stream()
                .noneMatch(trouble ->
                        trouble.until().compareTo(since) > 0 && trouble.from().compareTo(until) <= 0);
    }

    /**
     * ConfigurationStub that may rule a request between two moments: what was newest so long before, and all that came
     * since.
     */
    public List<ConfigurationStub> ruling(Duration from, Duration until) {
        Duration old = from.minus(Bounds.APPLY);
        long newest = configurationStub.stream()
                .filter(paper -> paper.status() == 200 && paper.answered().compareTo(old) < 0)
                .mapToLong(paper -> paper.configurationStub().configRevision())
                .max()
                .orElse(0);
        return configurationStub.stream()
                .filter(paper -> paper.valid()
                        && (paper.status() == 200 || paper.status() == 0)
                        && paper.configurationStub().configRevision() >= newest
                        && paper.sent().compareTo(until) <= 0)
                .map(Paper::configurationStub)
                .toList();
    }

    /** The bounds that the platform sets. */
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

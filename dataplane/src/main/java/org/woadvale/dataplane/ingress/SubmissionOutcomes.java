package org.woadvale.dataplane.ingress;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.runtime.Clock;

/**
 * Counts and logs the outcomes of the submissions of one node: one log line for the first submission accepted after the
 * start, and one for each period in which a submission was rejected or its outcome is unknown, with the number of each
 * kind. A period ends with the first outcome after its time is over.
 */
final class SubmissionOutcomes {
    private static final Logger LOG = LogManager.getLogger(SubmissionOutcomes.class);
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final Clock clock;
    private final Duration startedAt;
    private final Map<ErrorKind, Integer> failures = new EnumMap<>(ErrorKind.class);
    private Duration periodStart;
    private int accepted;
    private boolean anyAccepted;

    SubmissionOutcomes(Clock clock) {
        this.clock = clock;
        this.startedAt = clock.monotonicTime();
        this.periodStart = startedAt;
    }

    /** A submission was accepted. */
    synchronized void onAccepted() {
        accepted++;
        if (!anyAccepted) {
            anyAccepted = true;
            LOG.info("The first submission is accepted {} ms after the start.", since(startedAt));
        }
        endPeriodIfOver();
    }

    /** A submission was rejected, or its outcome is unknown. */
    synchronized void onFailure(Throwable error) {
        failures.merge(ServiceException.of(error).kind(), 1, Integer::sum);
        endPeriodIfOver();
    }

    private long since(Duration time) {
        return clock.monotonicTime().minus(time).toMillis();
    }

    private void endPeriodIfOver() {
        long elapsedMs = since(periodStart);
        if (elapsedMs < PERIOD.toMillis()) {
            return;
        }
        if (!failures.isEmpty()) {
            LOG.info("Submissions of the last {} ms: {} accepted, {}.", elapsedMs, accepted, failureCounts());
        }
        failures.clear();
        accepted = 0;
        periodStart = clock.monotonicTime();
    }

    /** Returns the number of failures by kind, such as "2 throttled, 1 unavailable". */
    synchronized String failureCounts() {
        return failures.entrySet().stream()
                .map(entry -> entry.getValue() + " " + entry.getKey().wireName())
                .collect(Collectors.joining(", "));
    }

    /** Returns the number of submissions accepted in the current period. */
    synchronized int acceptedCount() {
        return accepted;
    }
}

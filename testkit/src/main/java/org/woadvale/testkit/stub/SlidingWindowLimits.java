package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks tenants' limits and endpoints' rates in every window of 5 s, against the limits in force at that time. */
final class SlidingWindowLimits {
    static final Duration WINDOW = Duration.ofSeconds(5);
    private static final Duration APPLY_DELAY = Duration.ofSeconds(3);
    private static final double TOLERANCE_FACTOR = 1.1;
    private final Observations observations;

    SlidingWindowLimits(Observations observations) {
        this.observations = observations;
    }

    /** Counts every message known to have been accepted, whatever its submission was answered. */
    List<String> tenantLimitExceeded() {
        Map<String, Duration> accepted = new HashMap<>();
        Map<String, String> tenants = new HashMap<>();
        observations.copy(observations.ran).forEach(ran -> {
            tenants.put(ran.handle(), ran.tenant());
            accepted.merge(ran.handle(), ran.begun(), SlidingWindowLimits::earlier);
        });
        observations.copy(observations.submitted).stream()
                .filter(submitted -> submitted.outcome() == Observations.SubmissionOutcome.ACCEPTED)
                .forEach(submitted -> {
                    tenants.put(submitted.handle(), submitted.tenant());
                    accepted.merge(submitted.handle(), submitted.answered(), SlidingWindowLimits::earlier);
                });
        observations.copy(observations.shown).stream()
                .filter(shown -> !shown.accepted().isNegative())
                .forEach(shown -> accepted.put(shown.handle(), shown.accepted()));
        List<String> out = new ArrayList<>();
        observations.allowances().forEach((tenant, limits) -> {
            List<Duration> times = accepted.entrySet().stream()
                    .filter(entry -> tenant.equals(tenants.get(entry.getKey())))
                    .map(Map.Entry::getValue)
                    .sorted()
                    .toList();
            out.addAll(excess(tenant, times, limits, true));
        });
        return out;
    }

    List<String> endpointRateExceeded() {
        List<String> out = new ArrayList<>();
        observations.rates().forEach((service, limits) -> {
            List<Duration> times = observations.copy(observations.endpoints).stream()
                    .filter(requestAtEndpoint -> requestAtEndpoint.service().equals(service))
                    .map(Observations.RequestAtEndpoint::at)
                    .sorted()
                    .toList();
            out.addAll(excess(service, times, limits, false));
        });
        return out;
    }

    private static Duration earlier(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static List<String> excess(
            String name, List<Duration> times, List<Observations.Limit> limits, boolean burst) {
        int from = 0;
        for (int i = 0; i < times.size(); i++) {
            while (times.get(i).minus(times.get(from)).compareTo(WINDOW) >= 0) {
                from++;
            }
            int count = i - from + 1;
            double allowed = highestLimit(limits, times.get(from), times.get(i), burst);
            if (count > allowed) {
                return List.of(name + ": " + count + " in the 5 s up to " + times.get(i) + ", allowed " + allowed);
            }
        }
        return List.of();
    }

    /**
     * The highest limit that may have been in force in the window; a limit may apply for up to 3 s after the next one
     * was acknowledged.
     */
    private static double highestLimit(List<Observations.Limit> limits, Duration from, Duration to, boolean burst) {
        double highest = 0;
        for (int i = 0; i < limits.size(); i++) {
            Observations.Limit limit = limits.get(i);
            boolean superseded = i + 1 < limits.size()
                    && limits.get(i + 1).acknowledged().plus(APPLY_DELAY).compareTo(from) < 0;
            if (!superseded && limit.sent().compareTo(to) <= 0) {
                highest = Math.max(
                        highest, (limit.rate() * WINDOW.toSeconds() + (burst ? limit.burst() : 0)) * TOLERANCE_FACTOR);
            }
        }
        return highest;
    }

    /** The highest number of events in any window of 5 s. */
    static int maxInWindow(List<Duration> sorted) {
        int max = 0;
        int from = 0;
        for (int i = 0; i < sorted.size(); i++) {
            while (sorted.get(i).minus(sorted.get(from)).compareTo(WINDOW) >= 0) {
                from++;
            }
            max = Math.max(max, i - from + 1);
        }
        return max;
    }
}

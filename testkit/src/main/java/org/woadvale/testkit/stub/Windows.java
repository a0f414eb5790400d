package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What may not exceed a limit in any 5 s: allowances and endpoints' rates, as they stood at the time. */
final class Windows {
    static final Duration WINDOW = Duration.ofSeconds(5);
    private static final Duration APPLIES = Duration.ofSeconds(3);
    private static final double SLACK = 1.1;
    private final Observations observations;

    Windows(Observations observations) {
        this.observations = observations;
    }

    /** Every message that is known to have been taken, whatever its submission was answered. */
    List<String> allowance() {
        Map<String, Duration> taken = new HashMap<>();
        Map<String, String> tenants = new HashMap<>();
        observations.copy(observations.ran).forEach(ran -> {
            tenants.put(ran.handle(), ran.tenant());
            taken.merge(ran.handle(), ran.begun(), Windows::first);
        });
        observations.copy(observations.submitted).stream()
                .filter(submitted -> submitted.said() == Observations.Said.ACCEPTED)
                .forEach(submitted -> {
                    tenants.put(submitted.handle(), submitted.tenant());
                    taken.merge(submitted.handle(), submitted.answered(), Windows::first);
                });
        observations.copy(observations.shown).stream()
                .filter(shown -> !shown.accepted().isNegative())
                .forEach(shown -> taken.put(shown.handle(), shown.accepted()));
        List<String> out = new ArrayList<>();
        observations.allowances().forEach((tenant, limits) -> {
            List<Duration> at = taken.entrySet().stream()
                    .filter(entry -> tenant.equals(tenants.get(entry.getKey())))
                    .map(Map.Entry::getValue)
                    .sorted()
                    .toList();
            out.addAll(excess(tenant, at, limits, true));
        });
        return out;
    }

    List<String> rate() {
        List<String> out = new ArrayList<>();
        observations.rates().forEach((service, limits) -> {
            List<Duration> at = observations.copy(observations.endpoints).stream()
                    .filter(requestAtEndpoint -> requestAtEndpoint.service().equals(service))
                    .map(Observations.RequestAtEndpoint::at)
                    .sorted()
                    .toList();
            out.addAll(excess(service, at, limits, false));
        });
        return out;
    }

    private static Duration first(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static List<String> excess(String who, List<Duration> at, List<Observations.Limit> limits, boolean burst) {
        int from = 0;
        for (int i = 0; i < at.size(); i++) {
            while (at.get(i).minus(at.get(from)).compareTo(WINDOW) >= 0) {
                from++;
            }
            int n = i - from + 1;
            double most = most(limits, at.get(from), at.get(i), burst);
            if (n > most) {
                return List.of(who + ": " + n + " in 5 s up to " + at.get(i) + ", allowed " + most);
            }
        }
        return List.of();
    }

    /** The highest of all limits that may have been in force: an older one for 3 s after the next was acknowledged. */
    private static double most(List<Observations.Limit> limits, Duration from, Duration to, boolean burst) {
        double most = 0;
        for (int i = 0; i < limits.size(); i++) {
            Observations.Limit limit = limits.get(i);
            boolean over = i + 1 < limits.size()
                    && limits.get(i + 1).acknowledged().plus(APPLIES).compareTo(from) < 0;
            if (!over && limit.sent().compareTo(to) <= 0) {
                most = Math.max(most, (limit.rate() * WINDOW.toSeconds() + (burst ? limit.burst() : 0)) * SLACK);
            }
        }
        return most;
    }

    /** The most in any window of 5 s. */
    static int worst(List<Duration> sorted) {
        int most = 0;
        int from = 0;
        for (int i = 0; i < sorted.size(); i++) {
            while (sorted.get(i).minus(sorted.get(from)).compareTo(WINDOW) >= 0) {
                from++;
            }
            most = Math.max(most, i - from + 1);
        }
        return most;
    }
}

package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Checks the rate limits of tenants and services in every window. */
final class LimitRules {
    private final ObservationLog log;

    LimitRules(ObservationLog log) {
        this.log = log;
    }

    /** Counts a tenant's accepted messages at the time of the 202 answer, or of the first run if there was no 202. */
    List<String> tenantQuotaExceeded() {
        Map<String, Duration> accepted = new HashMap<>();
        log.began.forEach(began -> accepted.merge(began.id(), began.at(), (x, y) -> x.compareTo(y) < 0 ? x : y));
        log.submissionAnswers.stream()
                .filter(answer -> answer.status() == 202)
                .forEach(answer -> accepted.put(answer.id(), answer.at()));
        Map<String, List<Duration>> eventTimes = new HashMap<>();
        log.sent.stream()
                .filter(sent -> accepted.containsKey(sent.id()))
                .forEach(sent -> log.configurations.stream()
                        .flatMap(submitted -> submitted.configuration().tenant(sent.key()).stream())
                        .map(ConfigurationStub.Tenant::name)
                        .findFirst()
                        .ifPresent(t -> eventTimes
                                .computeIfAbsent(t, k -> new ArrayList<>())
                                .add(accepted.get(sent.id()))));
        return excess(
                eventTimes,
                tenant -> configuration -> configuration.tenants().stream()
                        .filter(t -> t.name().equals(tenant))
                        .findFirst()
                        .map(t -> (t.ratePerS() * ObservationLog.Bounds.WINDOW.toSeconds() + t.burstSize())
                                        * (1 + ObservationLog.Bounds.QUOTA_OVERRUN)
                                + ObservationLog.Bounds.QUOTA_SLACK));
    }

    List<String> serviceRateExceeded() {
        Map<String, List<Duration>> eventTimes = new HashMap<>();
        log.arrived.forEach(arrived -> eventTimes
                .computeIfAbsent(arrived.service(), k -> new ArrayList<>())
                .add(arrived.at()));
        return excess(
                eventTimes,
                service -> configuration -> configuration.services().stream()
                        .filter(s -> s.name().equals(service) && s.ratePerS() > 0)
                        .findFirst()
                        .map(s -> s.ratePerS()
                                        * ObservationLog.Bounds.WINDOW.toSeconds()
                                        * ObservationLog.Bounds.CEILING_OVERRUN
                                + ObservationLog.Bounds.CEILING_SLACK));
    }

    private List<String> excess(
            Map<String, List<Duration>> eventTimes,
            Function<String, Function<ConfigurationStub, Optional<Double>>> limitOf) {
        List<String> out = new ArrayList<>();
        eventTimes.forEach((name, times) -> {
            List<Duration> sorted = times.stream().sorted().toList();
            int from = 0;
            for (int i = 0; i < sorted.size(); i++) {
                while (sorted.get(i).minus(sorted.get(from)).compareTo(ObservationLog.Bounds.WINDOW) >= 0) {
                    from++;
                }
                Duration begin = sorted.get(from);
                Duration end = sorted.get(i);
                // the highest limit that may have been in force; a replaced one counts for one more window
                Optional<Double> limit = log.ruling(begin.minus(ObservationLog.Bounds.WINDOW), end).stream()
                        .flatMap(configuration -> limitOf.apply(name).apply(configuration).stream())
                        .max(Double::compareTo);
                if (limit.isPresent() && i - from + 1 > limit.get()) {
                    out.add(name + ": " + (i - from + 1) + " in the window up to " + end + ", allowed " + limit.get());
                    return;
                }
            }
        });
        return out;
    }
}

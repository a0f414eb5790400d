package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** What may not be exceeded in any window. */
final class LimitRules {
    private final ObservationLog log;

    LimitRules(ObservationLog log) {
        this.log = log;
    }

    /** Accepted messages of a tenant: by their 202, or by their first run where they got none. */
    List<String> quota() {
        Map<String, Duration> accepted = new HashMap<>();
        log.began.forEach(began -> accepted.merge(began.id(), began.at(), (x, y) -> x.compareTo(y) < 0 ? x : y));
        log.said.stream().filter(said -> said.status() == 202).forEach(said -> accepted.put(said.id(), said.at()));
        Map<String, List<Duration>> at = new HashMap<>();
        log.sent.stream()
                .filter(sent -> accepted.containsKey(sent.id()))
                .forEach(sent -> log.configurationStub.stream()
                        .flatMap(paper -> paper.configurationStub().tenant(sent.key()).stream())
                        .map(ConfigurationStub.Tenant::name)
                        .findFirst()
                        .ifPresent(t ->
                                at.computeIfAbsent(t, k -> new ArrayList<>()).add(accepted.get(sent.id()))));
        return excess(
                at,
                tenant -> stub -> stub.tenants().stream()
                        .filter(t -> t.name().equals(tenant))
                        .findFirst()
                        .map(t -> (t.ratePerS() * ObservationLog.Bounds.WINDOW.toSeconds() + t.burstSize())
                                        * (1 + ObservationLog.Bounds.QUOTA_OVERRUN)
                                + ObservationLog.Bounds.QUOTA_SLACK));
    }

    List<String> ceiling() {
        Map<String, List<Duration>> at = new HashMap<>();
        log.arrived.forEach(arrived ->
                at.computeIfAbsent(arrived.service(), k -> new ArrayList<>()).add(arrived.at()));
        return excess(
                at,
                service -> stub -> stub.services().stream()
                        .filter(s -> s.name().equals(service) && s.ratePerS() > 0)
                        .findFirst()
                        .map(s -> s.ratePerS()
                                        * ObservationLog.Bounds.WINDOW.toSeconds()
                                        * ObservationLog.Bounds.CEILING_OVERRUN
                                + ObservationLog.Bounds.CEILING_SLACK));
    }

    private List<String> excess(
            Map<String, List<Duration>> at, Function<String, Function<ConfigurationStub, Optional<Double>>> most) {
        List<String> out = new ArrayList<>();
        at.forEach((who, times) -> {
            List<Duration> sorted = times.stream().sorted().toList();
            int from = 0;
            for (int i = 0; i < sorted.size(); i++) {
                while (sorted.get(i).minus(sorted.get(from)).compareTo(ObservationLog.Bounds.WINDOW) >= 0) {
                    from++;
                }
                Duration begin = sorted.get(from);
                Duration end = sorted.get(i);
                // the highest of all that may have ruled: an older one for a window after it was replaced
                Optional<Double> limit = log.ruling(begin.minus(ObservationLog.Bounds.WINDOW), end).stream()
                        .flatMap(stub -> most.apply(who).apply(stub).stream())
                        .max(Double::compareTo);
                if (limit.isPresent() && i - from + 1 > limit.get()) {
                    out.add(who + ": " + (i - from + 1) + " in the window up to " + end + ", allowed " + limit.get());
                    return;
                }
            }
        });
        return out;
    }
}

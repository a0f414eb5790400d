package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What processors were given to run. */
final class RunRules {
    private static final Set<Integer> PROMISES = Set.of(429, 503, 408, 421);
    private final ObservationLog w;
    private final Ends ends;

    RunRules(ObservationLog w) {
        this.w = w;
        this.ends = new Ends(w);
    }

    private String tenant(String key) {
        return w.configurationStub.stream()
                .flatMap(p -> p.configurationStub().tenant(key).stream())
                .map(ConfigurationStub.Tenant::name)
                .findFirst()
                .orElse("");
    }

    private Optional<String> line(ObservationLog.Sent s) {
        return ends.route(s)
                .filter(r -> r.inOrder() && !s.orderKey().isEmpty())
                .map(r -> r.name() + "\n" + tenant(s.key()) + "\n" + s.orderKey());
    }

    List<String> order() {
        Map<String, List<ObservationLog.Sent>> lines = new HashMap<>();
        w.sent.stream()
                .filter(s -> ends.accepted().containsKey(s.id()))
                .forEach(s -> line(s).ifPresent(l ->
                        lines.computeIfAbsent(l, k -> new ArrayList<>()).add(s)));
        List<String> out = new ArrayList<>();
        w.began.forEach(b -> ends.sent(b.id())
                .ifPresent(s -> line(s).ifPresent(l -> lines.getOrDefault(l, List.of()).stream()
                        .filter(a -> !a.id().equals(b.id())
                                && ends.accepted().get(a.id()).at().compareTo(s.at()) < 0
                                && !ends.endedBy(a.id(), b.at()))
                        .findFirst()
                        .ifPresent(
                                a -> out.add(b.id() + " began at " + b.at() + " before " + a.id() + " had ended")))));
        return out;
    }

    /** The success was complete in time and was read; since then all was calm, and it runs again. */
    List<String> twiceRead() {
        List<String> out = new ArrayList<>();
        w.read.forEach(r -> {
            boolean inTime = ends.sent(r.id())
                    .flatMap(ends::route)
                    .map(x -> w.ended.stream()
                            .anyMatch(e -> e.id().equals(r.id())
                                    && Ends.success(e)
                                    && e.at().minus(e.began())
                                                    .plus(ObservationLog.Bounds.BEFORE_TIMEOUT)
                                                    .compareTo(Duration.ofMillis(x.timeoutMs()))
                                            <= 0))
                    .orElse(false);
            w.began.stream()
                    .filter(b ->
                            inTime && b.id().equals(r.id()) && b.at().compareTo(r.at()) > 0 && w.calm(b.at(), b.at()))
                    .findFirst()
                    .ifPresent(
                            b -> out.add(r.id() + " was read as done at " + r.at() + " and began again at " + b.at()));
        });
        return out;
    }

    /** Ends that end the message, of two leases, both taken. */
    List<String> twiceLeases() {
        Map<String, Set<String>> leases = new HashMap<>();
        w.endsTaken.stream()
                .filter(e -> e.outcome() == 200 || e.outcome() == 422)
                .forEach(e ->
                        leases.computeIfAbsent(e.id(), k -> new HashSet<>()).add(e.lease()));
        return leases.entrySet().stream()
                .filter(e -> e.getValue().size() > 1)
                .map(e -> e.getKey() + ": " + e.getValue())
                .toList();
    }

    List<String> refused() {
        Set<String> ran = new HashSet<>();
        w.began.forEach(b -> ran.add(b.id()));
        return w.said.stream()
                .filter(s -> PROMISES.contains(s.status()) && ran.contains(s.id()))
                .map(s -> s.id() + " was answered " + s.status() + " and ran")
                .toList();
    }

    List<String> unasked() {
        List<String> out = new ArrayList<>();
        w.began.forEach(b -> {
            Optional<ObservationLog.Sent> s = ends.sent(b.id());
            if (s.isEmpty()) {
                out.add(b.id() + " was sent by nobody");
            } else if (!b.method().equals("POST")
                    || !b.path().equals(s.get().path())
                    || !b.body().equals(s.get().body())
                    || !b.orderKey().equals(s.get().orderKey())) {
                out.add(b.id() + " was changed: " + b + " of " + s.get());
            } else if (!s.get().key().isEmpty()
                    && !b.tenant().equals(tenant(s.get().key()))) {
                out.add(b.id() + " ran for " + b.tenant() + ", its key is of "
                        + tenant(s.get().key()));
            }
        });
        return out;
    }

    List<String> route() {
        List<String> out = new ArrayList<>();
        w.began.forEach(b -> ends.sent(b.id()).ifPresent(s -> {
            boolean allowed = w.configurationStub.stream()
                    .anyMatch(p -> p.valid()
                            && p.configurationStub()
                                    .route(s.host(), s.path())
                                    .filter(r -> r.service().equals(b.service())
                                            && (r.keyless()
                                                    || p.configurationStub()
                                                            .tenant(s.key())
                                                            .isPresent()))
                                    .isPresent());
            if (!allowed) {
                out.add(b.id() + " " + s.path() + " ran at " + b.service() + ", which no configuration ever allowed");
            }
        }));
        return out;
    }

    List<String> drain() {
        Map<String, Duration> shown = new HashMap<>();
        w.draining.forEach(d -> shown.putIfAbsent(d.instance(), d.shown()));
        return w.arrived.stream()
                .filter(a -> !a.turnedAway()
                        && shown.containsKey(a.instance())
                        && a.at().compareTo(shown.get(a.instance()).plus(ObservationLog.Bounds.DRAIN)) > 0
                        && w.calm(shown.get(a.instance()), a.at()))
                .map(a -> a.instance() + " got " + a.id() + " at " + a.at() + ", shown as leaving at "
                        + shown.get(a.instance()))
                .toList();
    }
}

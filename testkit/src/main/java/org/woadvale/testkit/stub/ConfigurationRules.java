package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** What became of configurations. */
final class ConfigurationRules {
    private final ObservationLog w;
    private final Map<String, ObservationLog.Sent> sent = new HashMap<>();
    private final Set<String> began = new HashSet<>();

    ConfigurationRules(ObservationLog w) {
        this.w = w;
        w.sent.forEach(s -> sent.put(s.id(), s));
        w.began.forEach(b -> began.add(b.id()));
    }

    private List<ObservationLog.Paper> acknowledged() {
        return w.configurationStub.stream()
                .filter(p -> p.status() == 200 && p.valid())
                .sorted(java.util.Comparator.comparingLong(
                        p -> p.configurationStub().configRevision()))
                .toList();
    }

    /** Keys that an acknowledged configuration took away, and that none has brought back since. */
    List<String> revoked() {
        List<String> out = new ArrayList<>();
        List<ObservationLog.Paper> all = acknowledged();
        sent.values().stream()
                .filter(s -> began.contains(s.id()) && !s.key().isEmpty())
                .forEach(s -> {
                    Duration by = s.at().minus(ObservationLog.Bounds.REVOKE);
                    Optional<ObservationLog.Paper> last = all.stream()
                            .filter(p -> p.answered().compareTo(by) < 0)
                            .reduce((a, b) -> b);
                    boolean held = last.isEmpty()
                            || w.configurationStub.stream()
                                    .anyMatch(p -> p.valid()
                                            && p.configurationStub().configRevision()
                                                    >= last.get()
                                                            .configurationStub()
                                                            .configRevision()
                                            && holds(p.configurationStub(), s));
                    if (!held) {
                        out.add(s.id() + " ran, sent at " + s.at() + " under " + s.key() + ", withdrawn at "
                                + last.get().answered());
                    }
                });
        return out;
    }

    private static boolean holds(ConfigurationStub p, ObservationLog.Sent s) {
        return p.tenant(s.key()).isPresent()
                || p.route(s.host(), s.path())
                        .filter(ConfigurationStub.Route::keyless)
                        .isPresent();
    }

    /** In touch, and yet answered as only an older one allows. */
    List<String> ignored() {
        List<String> out = new ArrayList<>();
        w.said.stream().filter(a -> sent.containsKey(a.id())).forEach(a -> {
            ObservationLog.Sent s = sent.get(a.id());
            List<ConfigurationStub> ruling = w.ruling(s.at(), a.at());
            Predicate<ConfigurationStub> open = p -> p.route(s.host(), s.path()).isPresent() && holds(p, s);
            boolean wrong = a.status() == 202
                    ? ruling.stream().noneMatch(open)
                    : Set.of(401, 403, 404).contains(a.status())
                            && ruling.stream().allMatch(open);
            if (wrong && !ruling.isEmpty() && w.calm(s.at(), a.at())) {
                out.add(s.id() + " " + s.path() + " sent at " + s.at() + " to " + s.node() + " was answered "
                        + a.status() + "; ruling "
                        + ruling.stream().map(ConfigurationStub::configRevision).toList());
            }
        });
        return out;
    }

    /** Within one life of a node: a route that was served there is unknown there later, though it is in every paper since. */
    List<String> back() {
        List<String> out = new ArrayList<>();
        Map<String, Duration> served = new HashMap<>();
        w.said.stream().filter(a -> sent.containsKey(a.id())).forEach(a -> {
            ObservationLog.Sent s = sent.get(a.id());
            String place = s.node() + " " + s.host() + s.path();
            if (a.status() == 202) {
                served.merge(place, a.at(), (x, y) -> x.compareTo(y) < 0 ? x : y);
            } else if (a.status() == 404
                    && served.containsKey(place)
                    && s.at().compareTo(served.get(place).plus(ObservationLog.Bounds.BACK)) > 0
                    && w.killed.stream()
                            .noneMatch(k -> k.node().equals(s.node()) && k.at().compareTo(served.get(place)) > 0)
                    && w.configurationStub.stream()
                            .noneMatch(p -> p.valid()
                                    && p.status() != 412
                                    && p.configurationStub()
                                            .route(s.host(), s.path())
                                            .isEmpty()
                                    && p.sent().compareTo(a.at()) < 0
                                    && p.answered()
                                                    .plus(ObservationLog.Bounds.APPLY)
                                                    .compareTo(served.get(place))
                                            > 0)) {
                out.add(place + " was served at " + served.get(place) + " and unknown at " + a.at());
            }
        });
        return out;
    }

    /** An invalid one was acknowledged, or two on top of the same. */
    List<String> taken() {
        List<String> out = new ArrayList<>();
        Map<Long, String> byBase = new HashMap<>();
        w.configurationStub.stream().filter(p -> p.status() == 200).forEach(p -> {
            if (!p.valid()) {
                out.add("an invalid one was acknowledged: "
                        + p.configurationStub().configRevision());
            }
            Optional.ofNullable(byBase.putIfAbsent(p.base(), p.text()))
                    .filter(t -> !t.equals(p.text()))
                    .ifPresent(t -> out.add("two were acknowledged on top of " + p.base()));
        });
        return out;
    }

    /** The last reading: the newest acknowledged one as it was sent, or a later one that got no clear answer. */
    List<String> readBack() {
        List<ObservationLog.Paper> all = acknowledged();
        if (all.isEmpty() || w.readBack.isEmpty()) {
            return List.of();
        }
        ObservationLog.Paper newest = all.get(all.size() - 1);
        ObservationLog.ReadBack last = w.readBack.get(w.readBack.size() - 1);
        boolean good = last.status() == 200
                && w.configurationStub.stream()
                        .anyMatch(p -> p.valid()
                                && p.text().equals(last.text())
                                && (p.text().equals(newest.text())
                                        || p.status() == 0
                                                && p.configurationStub().configRevision()
                                                        > newest.configurationStub()
                                                                .configRevision()));
        return good
                ? List.of()
                : List.of("read at the end: " + last.status() + ", newest acknowledged is "
                        + newest.configurationStub().configRevision());
    }
}

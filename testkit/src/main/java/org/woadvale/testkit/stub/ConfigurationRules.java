package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** What became of configurations. */
final class ConfigurationRules {
    private final ObservationLog log;
    private final Map<String, ObservationLog.Sent> sent = new HashMap<>();
    private final Set<String> began = new HashSet<>();

    ConfigurationRules(ObservationLog log) {
        this.log = log;
        log.sent.forEach(s -> sent.put(s.id(), s));
        log.began.forEach(b -> began.add(b.id()));
    }

    private List<ObservationLog.Paper> acknowledged() {
        return log.configurationStub.stream()
                .filter(paper -> paper.status() == 200 && paper.valid())
                .sorted(Comparator.comparingLong(
                        paper -> paper.configurationStub().configRevision()))
                .toList();
    }

    /** Keys that an acknowledged configuration took away, and that none has brought back since. */
    List<String> revoked() {
        List<String> out = new ArrayList<>();
        List<ObservationLog.Paper> all = acknowledged();
        sent.values().stream()
                .filter(sent -> began.contains(sent.id()) && !sent.key().isEmpty())
                .forEach(sent -> {
                    Duration by = sent.at().minus(ObservationLog.Bounds.REVOKE);
                    Optional<ObservationLog.Paper> last = all.stream()
                            .filter(paper -> paper.answered().compareTo(by) < 0)
                            .reduce((a, paper) -> paper);
                    boolean held = last.isEmpty()
                            || log.configurationStub.stream()
                                    .anyMatch(paper -> paper.valid()
                                            && paper.configurationStub().configRevision()
                                                    >= last.get()
                                                            .configurationStub()
                                                            .configRevision()
                                            && holds(paper.configurationStub(), sent));
                    if (!held) {
                        out.add(sent.id() + " ran, sent at " + sent.at() + " under " + sent.key() + ", withdrawn at "
                                + last.get().answered());
                    }
                });
        return out;
    }

    private static boolean holds(ConfigurationStub stub, ObservationLog.Sent sent) {
        return stub.tenant(sent.key()).isPresent()
                || stub.route(sent.host(), sent.path())
                        .filter(ConfigurationStub.Route::keyless)
                        .isPresent();
    }

    /** In touch, and yet answered as only an older one allows. */
    List<String> ignored() {
        List<String> out = new ArrayList<>();
        log.said.stream().filter(said -> sent.containsKey(said.id())).forEach(said -> {
            ObservationLog.Sent s = sent.get(said.id());
            List<ConfigurationStub> ruling = log.ruling(s.at(), said.at());
            Predicate<ConfigurationStub> open =
                    stub -> stub.route(s.host(), s.path()).isPresent() && holds(stub, s);
            boolean wrong = said.status() == 202
                    ? ruling.stream().noneMatch(open)
                    : Set.of(401, 403, 404).contains(said.status())
                            && ruling.stream().allMatch(open);
            if (wrong && !ruling.isEmpty() && log.calm(s.at(), said.at())) {
                out.add(s.id() + " " + s.path() + " sent at " + s.at() + " to " + s.node() + " was answered "
                        + said.status() + "; ruling "
                        + ruling.stream().map(ConfigurationStub::configRevision).toList());
            }
        });
        return out;
    }

    /**
     * Within one life of a node: a route that was served there is unknown there later, though it is in every paper
     * since.
     */
    List<String> back() {
        List<String> out = new ArrayList<>();
        Map<String, Duration> served = new HashMap<>();
        log.said.stream().filter(said -> sent.containsKey(said.id())).forEach(said -> {
            ObservationLog.Sent s = sent.get(said.id());
            String place = s.node() + " " + s.host() + s.path();
            if (said.status() == 202) {
                served.merge(place, said.at(), (x, y) -> x.compareTo(y) < 0 ? x : y);
            } else if (said.status() == 404
                    && served.containsKey(place)
                    && s.at().compareTo(served.get(place).plus(ObservationLog.Bounds.BACK)) > 0
                    && log.killed.stream()
                            .noneMatch(killed -> killed.node().equals(s.node())
                                    && killed.at().compareTo(served.get(place)) > 0)
                    && log.configurationStub.stream()
                            .noneMatch(paper -> paper.valid()
                                    && paper.status() != 412
                                    && paper.configurationStub()
                                            .route(s.host(), s.path())
                                            .isEmpty()
                                    && paper.sent().compareTo(said.at()) < 0
                                    && paper.answered()
                                                    .plus(ObservationLog.Bounds.APPLY)
                                                    .compareTo(served.get(place))
                                            > 0)) {
                out.add(place + " was served at " + served.get(place) + " and unknown at " + said.at());
            }
        });
        return out;
    }

    /** An invalid one was acknowledged, or two on top of the same. */
    List<String> taken() {
        List<String> out = new ArrayList<>();
        Map<Long, String> byBase = new HashMap<>();
        log.configurationStub.stream().filter(paper -> paper.status() == 200).forEach(paper -> {
            if (!paper.valid()) {
                out.add("an invalid one was acknowledged: "
                        + paper.configurationStub().configRevision());
            }
            Optional.ofNullable(byBase.putIfAbsent(paper.base(), paper.text()))
                    .filter(t -> !t.equals(paper.text()))
                    .ifPresent(t -> out.add("two were acknowledged on top of " + paper.base()));
        });
        return out;
    }

    /** The last reading: the newest acknowledged one as it was sent, or a later one that got no clear answer. */
    List<String> readBack() {
        List<ObservationLog.Paper> all = acknowledged();
        if (all.isEmpty() || log.readBack.isEmpty()) {
            return List.of();
        }
        ObservationLog.Paper newest = all.get(all.size() - 1);
        ObservationLog.ReadBack last = log.readBack.get(log.readBack.size() - 1);
        boolean good = last.status() == 200
                && log.configurationStub.stream()
                        .anyMatch(paper -> paper.valid()
                                && paper.text().equals(last.text())
                                && (paper.text().equals(newest.text())
                                        || paper.status() == 0
                                                && paper.configurationStub().configRevision()
                                                        > newest.configurationStub()
                                                                .configRevision()));
        return good
                ? List.of()
                : List.of("read at the end: " + last.status() + ", newest acknowledged is "
                        + newest.configurationStub().configRevision());
    }
}

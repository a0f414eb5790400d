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

/** Checks how submitted configurations take effect. */
final class ConfigurationRules {
    private final ObservationLog log;
    private final Map<String, ObservationLog.Sent> sent = new HashMap<>();
    private final Set<String> began = new HashSet<>();

    ConfigurationRules(ObservationLog log) {
        this.log = log;
        log.sent.forEach(s -> sent.put(s.id(), s));
        log.began.forEach(b -> began.add(b.id()));
    }

    private List<ObservationLog.ConfigurationSubmission> acknowledged() {
        return log.configurations.stream()
                .filter(submitted -> submitted.status() == 200 && submitted.valid())
                .sorted(Comparator.comparingLong(
                        submitted -> submitted.configuration().configRevision()))
                .toList();
    }

    /** Messages that ran under a key which an acknowledged configuration removed and no later one restored. */
    List<String> revokedKeyUsed() {
        List<String> out = new ArrayList<>();
        List<ObservationLog.ConfigurationSubmission> all = acknowledged();
        sent.values().stream()
                .filter(sent -> began.contains(sent.id()) && !sent.key().isEmpty())
                .forEach(sent -> {
                    Duration latest = sent.at().minus(ObservationLog.Bounds.REVOKE);
                    Optional<ObservationLog.ConfigurationSubmission> last = all.stream()
                            .filter(submitted -> submitted.answered().compareTo(latest) < 0)
                            .reduce((a, submitted) -> submitted);
                    boolean stillValid = last.isEmpty()
                            || log.configurations.stream()
                                    .anyMatch(submitted -> submitted.valid()
                                            && submitted.configuration().configRevision()
                                                    >= last.get()
                                                            .configuration()
                                                            .configRevision()
                                            && admits(submitted.configuration(), sent));
                    if (!stillValid) {
                        out.add(sent.id() + " ran, sent at " + sent.at() + " under " + sent.key() + ", withdrawn at "
                                + last.get().answered());
                    }
                });
        return out;
    }

    private static boolean admits(ConfigurationStub configuration, ObservationLog.Sent sent) {
        return configuration.tenant(sent.key()).isPresent()
                || configuration
                        .route(sent.host(), sent.path())
                        .filter(ConfigurationStub.Route::keyless)
                        .isPresent();
    }

    /** Requests answered according to an outdated configuration although the node was not cut off. */
    List<String> ignored() {
        List<String> out = new ArrayList<>();
        log.submissionAnswers.stream()
                .filter(answer -> sent.containsKey(answer.id()))
                .forEach(answer -> {
                    ObservationLog.Sent s = sent.get(answer.id());
                    List<ConfigurationStub> possible = log.ruling(s.at(), answer.at());
                    Predicate<ConfigurationStub> allows = configuration ->
                            configuration.route(s.host(), s.path()).isPresent() && admits(configuration, s);
                    boolean wrong = answer.status() == 202
                            ? possible.stream().noneMatch(allows)
                            : Set.of(401, 403, 404).contains(answer.status())
                                    && possible.stream().allMatch(allows);
                    if (wrong && !possible.isEmpty() && log.calm(s.at(), answer.at())) {
                        out.add(s.id() + " " + s.path() + " sent at " + s.at() + " to " + s.node() + " was answered "
                                + answer.status() + "; revisions that may be in force: "
                                + possible.stream()
                                        .map(ConfigurationStub::configRevision)
                                        .toList());
                    }
                });
        return out;
    }

    /**
     * Routes that a node served and later, without a restart, did not know although every configuration since has
     * them.
     */
    List<String> revertedToOlder() {
        List<String> out = new ArrayList<>();
        Map<String, Duration> served = new HashMap<>();
        log.submissionAnswers.stream()
                .filter(answer -> sent.containsKey(answer.id()))
                .forEach(answer -> {
                    ObservationLog.Sent s = sent.get(answer.id());
                    String nodeRoute = s.node() + " " + s.host() + s.path();
                    if (answer.status() == 202) {
                        served.merge(nodeRoute, answer.at(), (x, y) -> x.compareTo(y) < 0 ? x : y);
                    } else if (answer.status() == 404
                            && served.containsKey(nodeRoute)
                            && s.at().compareTo(served.get(nodeRoute).plus(ObservationLog.Bounds.BACK)) > 0
                            && log.killed.stream()
                                    .noneMatch(killed -> killed.node().equals(s.node())
                                            && killed.at().compareTo(served.get(nodeRoute)) > 0)
                            && log.configurations.stream()
                                    .noneMatch(submitted -> submitted.valid()
                                            && submitted.status() != 412
                                            && submitted
                                                    .configuration()
                                                    .route(s.host(), s.path())
                                                    .isEmpty()
                                            && submitted.sent().compareTo(answer.at()) < 0
                                            && submitted
                                                            .answered()
                                                            .plus(ObservationLog.Bounds.APPLY)
                                                            .compareTo(served.get(nodeRoute))
                                                    > 0)) {
                        out.add(nodeRoute + " was served at " + served.get(nodeRoute) + " and unknown at "
                                + answer.at());
                    }
                });
        return out;
    }

    /** Invalid configurations that were acknowledged, and bases on which two were acknowledged. */
    List<String> wronglyAcknowledged() {
        List<String> out = new ArrayList<>();
        Map<Long, String> byBase = new HashMap<>();
        log.configurations.stream()
                .filter(submitted -> submitted.status() == 200)
                .forEach(submitted -> {
                    if (!submitted.valid()) {
                        out.add("an invalid configuration was acknowledged: "
                                + submitted.configuration().configRevision());
                    }
                    Optional.ofNullable(byBase.putIfAbsent(submitted.base(), submitted.text()))
                            .filter(t -> !t.equals(submitted.text()))
                            .ifPresent(
                                    t -> out.add("two configurations were acknowledged on base " + submitted.base()));
                });
        return out;
    }

    /**
     * The final read must return the newest acknowledged configuration as it was sent, or a later one whose submission
     * got no clear answer.
     */
    List<String> wrongFinalRead() {
        List<ObservationLog.ConfigurationSubmission> all = acknowledged();
        if (all.isEmpty() || log.readBack.isEmpty()) {
            return List.of();
        }
        ObservationLog.ConfigurationSubmission newest = all.get(all.size() - 1);
        ObservationLog.ReadBack last = log.readBack.get(log.readBack.size() - 1);
        boolean good = last.status() == 200
                && log.configurations.stream()
                        .anyMatch(submitted -> submitted.valid()
                                && submitted.text().equals(last.text())
                                && (submitted.text().equals(newest.text())
                                        || submitted.status() == 0
                                                && submitted.configuration().configRevision()
                                                        > newest.configuration().configRevision()));
        return good
                ? List.of()
                : List.of("read at the end: " + last.status() + ", newest acknowledged is "
                        + newest.configuration().configRevision());
    }
}

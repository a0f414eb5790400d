package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Checks the requests that processors were given to run. */
final class RunRules {
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(429, 503, 408, 421);
    private final ObservationLog log;
    private final ObservedEnds ends;

    RunRules(ObservationLog log) {
        this.log = log;
        this.ends = new ObservedEnds(log);
    }

    private String tenant(String key) {
        return log.configurations.stream()
                .flatMap(submitted -> submitted.configuration().tenant(key).stream())
                .map(ConfigurationStub.Tenant::name)
                .findFirst()
                .orElse("");
    }

    private Optional<String> orderingGroup(ObservationLog.Sent sent) {
        return ends.route(sent)
                .filter(route -> route.inOrder() && !sent.orderKey().isEmpty())
                .map(route -> route.name() + "\n" + tenant(sent.key()) + "\n" + sent.orderKey());
    }

    List<String> outOfOrder() {
        Map<String, List<ObservationLog.Sent>> groups = new HashMap<>();
        log.sent.stream()
                .filter(sent -> ends.accepted().containsKey(sent.id()))
                .forEach(sent -> orderingGroup(sent)
                        .ifPresent(group -> groups.computeIfAbsent(group, k -> new ArrayList<>())
                                .add(sent)));
        List<String> out = new ArrayList<>();
        log.began.forEach(began -> ends.sent(began.id())
                .ifPresent(s -> orderingGroup(s)
                        .ifPresent(group -> groups.getOrDefault(group, List.of()).stream()
                                .filter(sent -> !sent.id().equals(began.id())
                                        && ends.accepted().get(sent.id()).at().compareTo(s.at()) < 0
                                        && !ends.endedBy(sent.id(), began.at()))
                                .findFirst()
                                .ifPresent(sent -> out.add(began.id() + " began at " + began.at() + " before "
                                        + sent.id() + " had ended")))));
        return out;
    }

    /** Messages that run again after an in-time success was read, without any disruption since. */
    List<String> repeatedAfterRead() {
        List<String> out = new ArrayList<>();
        log.read.forEach(read -> {
            boolean inTime = ends.sent(read.id())
                    .flatMap(ends::route)
                    .map(route -> log.ended.stream()
                            .anyMatch(ended -> ended.id().equals(read.id())
                                    && ObservedEnds.success(ended)
                                    && ended.at()
                                                    .minus(ended.began())
                                                    .plus(ObservationLog.Bounds.BEFORE_TIMEOUT)
                                                    .compareTo(Duration.ofMillis(route.timeoutMs()))
                                            <= 0))
                    .orElse(false);
            log.began.stream()
                    .filter(began -> inTime
                            && began.id().equals(read.id())
                            && began.at().compareTo(read.at()) > 0
                            && log.calm(began.at(), began.at()))
                    .findFirst()
                    .ifPresent(began -> out.add(
                            read.id() + " was read as done at " + read.at() + " and began again at " + began.at()));
        });
        return out;
    }

    /** Messages for which final outcomes of two different leases were accepted. */
    List<String> endedByTwoLeases() {
        Map<String, Set<String>> leases = new HashMap<>();
        log.endsTaken.stream()
                .filter(endTaken -> endTaken.outcome() == 200 || endTaken.outcome() == 422)
                .forEach(endTaken -> leases.computeIfAbsent(endTaken.id(), k -> new HashSet<>())
                        .add(endTaken.lease()));
        return leases.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 1)
                .map(entry -> entry.getKey() + ": " + entry.getValue())
                .toList();
    }

    List<String> refusedButRan() {
        Set<String> ran = new HashSet<>();
        log.began.forEach(began -> ran.add(began.id()));
        return log.submissionAnswers.stream()
                .filter(answer -> NOT_EXECUTED_STATUSES.contains(answer.status()) && ran.contains(answer.id()))
                .map(answer -> answer.id() + " was answered " + answer.status() + " and ran")
                .toList();
    }

    List<String> alteredRequests() {
        List<String> out = new ArrayList<>();
        log.began.forEach(began -> {
            Optional<ObservationLog.Sent> sent = ends.sent(began.id());
            if (sent.isEmpty()) {
                out.add(began.id() + " was never sent");
            } else if (!began.method().equals("POST")
                    || !began.path().equals(sent.get().path())
                    || !began.body().equals(sent.get().body())
                    || !began.orderKey().equals(sent.get().orderKey())) {
                out.add(began.id() + " was changed: " + began + " of " + sent.get());
            } else if (!sent.get().key().isEmpty()
                    && !began.tenant().equals(tenant(sent.get().key()))) {
                out.add(began.id() + " ran for " + began.tenant() + ", but its key belongs to "
                        + tenant(sent.get().key()));
            }
        });
        return out;
    }

    List<String> routeNotAllowed() {
        List<String> out = new ArrayList<>();
        log.began.forEach(began -> ends.sent(began.id()).ifPresent(sent -> {
            boolean allowed = log.configurations.stream()
                    .anyMatch(submitted -> submitted.valid()
                            && submitted
                                    .configuration()
                                    .route(sent.host(), sent.path())
                                    .filter(route -> route.service().equals(began.service())
                                            && (route.keyless()
                                                    || submitted
                                                            .configuration()
                                                            .tenant(sent.key())
                                                            .isPresent()))
                                    .isPresent());
            if (!allowed) {
                out.add(began.id() + " " + sent.path() + " ran at " + began.service()
                        + ", which no configuration ever allowed");
            }
        }));
        return out;
    }

    List<String> drainingInstanceUsed() {
        Map<String, Duration> shown = new HashMap<>();
        log.draining.forEach(draining -> shown.putIfAbsent(draining.instance(), draining.shown()));
        return log.arrived.stream()
                .filter(arrived -> !arrived.turnedAway()
                        && shown.containsKey(arrived.instance())
                        && arrived.at().compareTo(shown.get(arrived.instance()).plus(ObservationLog.Bounds.DRAIN)) > 0
                        && log.calm(shown.get(arrived.instance()), arrived.at()))
                .map(arrived -> arrived.instance() + " got " + arrived.id() + " at " + arrived.at()
                        + ", shown as leaving at " + shown.get(arrived.instance()))
                .toList();
    }
}

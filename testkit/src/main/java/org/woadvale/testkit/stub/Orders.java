package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** What operators and the platform said, and whether it was heeded in time. */
final class Orders {
    private static final Duration KEY = Duration.ofSeconds(5);
    private static final Duration HEEDED = Duration.ofSeconds(3);
    /** For the way of an answer, which nobody can take back once it was sent. */
    private static final Duration WAY = Duration.ofMillis(200);

    private static final Duration RETURN = Duration.ofSeconds(12);
    private final Observations observations;

    Orders(Observations observations) {
        this.observations = observations;
    }

    /** By the time of acceptance where the owner's stamp was seen, else by the sending. */
    List<String> withdrawnKey() {
        Map<String, Duration> accepted = new HashMap<>();
        observations.copy(observations.shown).stream()
                .filter(shown -> !shown.accepted().isNegative())
                .forEach(shown -> accepted.put(shown.handle(), shown.accepted()));
        List<String> out = new ArrayList<>();
        observations.copy(observations.keys).forEach(keyWithdrawn -> {
            Duration end = keyWithdrawn.acknowledged().plus(KEY);
            observations.copy(observations.submitted).stream()
                    .filter(submitted -> submitted.key().equals(keyWithdrawn.key())
                            && submitted.said() == Observations.Said.ACCEPTED
                            && accepted.getOrDefault(submitted.handle(), submitted.sent())
                                            .compareTo(end)
                                    > 0)
                    .forEach(submitted -> out.add(submitted.handle() + " taken with " + keyWithdrawn.key()));
            observations.copy(observations.served).stream()
                    .filter(keyServed -> keyServed.key().equals(keyWithdrawn.key())
                            && keyServed.answered().minus(WAY).compareTo(end) > 0)
                    .forEach(keyServed -> out.add(keyServed.what() + " served under " + keyWithdrawn.key()));
        });
        return out;
    }

    List<String> ignoredConfiguration() {
        List<String> out = new ArrayList<>(observations.copy(observations.ignored).stream()
                .filter(configurationNeeded -> configurationNeeded
                                .seenIgnored()
                                .compareTo(configurationNeeded.acknowledged().plus(HEEDED))
                        > 0)
                .map(configurationNeeded -> configurationNeeded.what() + " still ignored "
                        + configurationNeeded.seenIgnored().minus(configurationNeeded.acknowledged()))
                .toList());
        Map<String, Long> newest = new HashMap<>();
        observations.copy(observations.versions).stream()
                .filter(nodeVersion -> nodeVersion.version() >= 0)
                .forEach(nodeVersion -> {
                    if (nodeVersion.version() < newest.getOrDefault(nodeVersion.node(), 0L)) {
                        out.add(nodeVersion.node() + " went back to " + nodeVersion.version() + " from "
                                + newest.get(nodeVersion.node()));
                    }
                    newest.merge(nodeVersion.node(), nodeVersion.version(), Math::max);
                });
        return out;
    }

    List<String> badConfiguration() {
        List<String> out = new ArrayList<>();
        List<Observations.ConfigurationSaid> said = observations.copy(observations.configurations);
        said.stream()
                .filter(configurationSaid -> configurationSaid.taken() && !configurationSaid.valid())
                .forEach(configurationSaid -> out.add(configurationSaid.requestId() + " is invalid but taken"));
        Map<Long, Set<String>> byVersion = said.stream()
                .filter(Observations.ConfigurationSaid::taken)
                .collect(Collectors.groupingBy(
                        Observations.ConfigurationSaid::version,
                        Collectors.mapping(Observations.ConfigurationSaid::digest, Collectors.toSet())));
        byVersion.forEach((v, d) -> {
            if (d.size() > 1) {
                out.add("two layouts were taken as version " + v);
            }
        });
        observations.copy(observations.reads).forEach(configurationRead -> {
            said.stream()
                    .filter(configurationSaid -> configurationSaid.taken()
                            && configurationSaid.at().compareTo(configurationRead.asked()) < 0
                            && configurationSaid.version() > configurationRead.version())
                    .findFirst()
                    .ifPresent(configurationSaid -> out.add("read " + configurationRead.version() + " after "
                            + configurationSaid.version() + " was taken"));
            if (byVersion.containsKey(configurationRead.version())
                    && !byVersion.get(configurationRead.version()).contains(configurationRead.digest())) {
                out.add("read other content as version " + configurationRead.version());
            }
        });
        return out;
    }

    List<String> leaving() {
        List<String> out = new ArrayList<>();
        observations
                .copy(observations.leaving)
                .forEach(markedLeaving -> observations.copy(observations.ran).stream()
                        .filter(ran -> ran.processor().equals(markedLeaving.processor())
                                && ran.begun()
                                                .compareTo(markedLeaving
                                                        .acknowledged()
                                                        .plus(HEEDED))
                                        > 0
                                && observations.copy(observations.listed).stream()
                                        .noneMatch(listed -> listed.processor().equals(markedLeaving.processor())
                                                && listed.sent().compareTo(markedLeaving.acknowledged()) >= 0
                                                && listed.sent().compareTo(ran.begun()) <= 0))
                        .forEach(ran -> out.add(ran.handle() + " given to " + markedLeaving.processor())));
        return out;
    }

    List<String> outage() {
        return observations.copy(observations.outages).stream()
                .filter(outage -> outage.served().minus(outage.restarted()).compareTo(RETURN) > 0)
                .map(outage -> "served again after " + outage.served().minus(outage.restarted()))
                .toList();
    }
}

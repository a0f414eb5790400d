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
    private final Observations s;

    Orders(Observations s) {
        this.s = s;
    }

    /** By the time of acceptance where the owner's stamp was seen, else by the sending. */
    List<String> withdrawnKey() {
        Map<String, Duration> accepted = new HashMap<>();
        s.copy(s.shown).stream()
                .filter(x -> !x.accepted().isNegative())
                .forEach(x -> accepted.put(x.handle(), x.accepted()));
        List<String> out = new ArrayList<>();
        s.copy(s.keys).forEach(k -> {
            Duration end = k.acknowledged().plus(KEY);
            s.copy(s.submitted).stream()
                    .filter(h -> h.key().equals(k.key())
                            && h.said() == Observations.Said.ACCEPTED
                            && accepted.getOrDefault(h.handle(), h.sent()).compareTo(end) > 0)
                    .forEach(h -> out.add(h.handle() + " taken with " + k.key()));
            s.copy(s.served).stream()
                    .filter(u ->
                            u.key().equals(k.key()) && u.answered().minus(WAY).compareTo(end) > 0)
                    .forEach(u -> out.add(u.what() + " served under " + k.key()));
        });
        return out;
    }

    List<String> ignoredConfiguration() {
        List<String> out = new ArrayList<>(s.copy(s.ignored).stream()
                .filter(n -> n.seenIgnored().compareTo(n.acknowledged().plus(HEEDED)) > 0)
                .map(n -> n.what() + " still ignored " + n.seenIgnored().minus(n.acknowledged()))
                .toList());
        Map<String, Long> newest = new HashMap<>();
        s.copy(s.versions).stream().filter(v -> v.version() >= 0).forEach(v -> {
            if (v.version() < newest.getOrDefault(v.node(), 0L)) {
                out.add(v.node() + " went back to " + v.version() + " from " + newest.get(v.node()));
            }
            newest.merge(v.node(), v.version(), Math::max);
        });
        return out;
    }

    List<String> badConfiguration() {
        List<String> out = new ArrayList<>();
        List<Observations.ConfigurationSaid> said = s.copy(s.configurations);
        said.stream()
                .filter(l -> l.taken() && !l.valid())
                .forEach(l -> out.add(l.requestId() + " is invalid but taken"));
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
        s.copy(s.reads).forEach(r -> {
            said.stream()
                    .filter(l -> l.taken() && l.at().compareTo(r.asked()) < 0 && l.version() > r.version())
                    .findFirst()
                    .ifPresent(l -> out.add("read " + r.version() + " after " + l.version() + " was taken"));
            if (byVersion.containsKey(r.version())
                    && !byVersion.get(r.version()).contains(r.digest())) {
                out.add("read other content as version " + r.version());
            }
        });
        return out;
    }

    List<String> leaving() {
        List<String> out = new ArrayList<>();
        s.copy(s.leaving)
                .forEach(l -> s.copy(s.ran).stream()
                        .filter(r -> r.processor().equals(l.processor())
                                && r.begun().compareTo(l.acknowledged().plus(HEEDED)) > 0
                                && s.copy(s.listed).stream()
                                        .noneMatch(x -> x.processor().equals(l.processor())
                                                && x.sent().compareTo(l.acknowledged()) >= 0
                                                && x.sent().compareTo(r.begun()) <= 0))
                        .forEach(r -> out.add(r.handle() + " given to " + l.processor())));
        return out;
    }

    List<String> outage() {
        return s.copy(s.outages).stream()
                .filter(o -> o.served().minus(o.restarted()).compareTo(RETURN) > 0)
                .map(o -> "served again after " + o.served().minus(o.restarted()))
                .toList();
    }
}

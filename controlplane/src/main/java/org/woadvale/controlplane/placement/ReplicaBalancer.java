package org.woadvale.controlplane.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceView;

/** Gives a store that joined its share, one change at a time, and only while nobody comes or goes. design 6.5 */
final class ReplicaBalancer {
    private static final Duration STABLE_PERIOD = Duration.ofSeconds(15);
    private static final Duration PAUSE_BETWEEN_CHANGES = Duration.ofSeconds(3);

    /** New copies of a part; the store that is to receive it, or none where only the order changes. */
    record Change(String partition, List<String> replicas, Optional<String> to) {}

    private Set<String> members = Set.of();
    private Duration stableSince = Duration.ZERO;
    private Duration lastChange = Duration.ZERO;

    void observe(Set<String> now, Duration at) {
        if (!now.equals(members)) {
            members = Set.copyOf(now);
            stableSince = at;
        }
    }

    Optional<Change> next(ServiceView view, Duration now) {
        boolean allThere = view.placement().values().stream().allMatch(members::containsAll);
        if (!allThere
                || now.minus(stableSince).compareTo(STABLE_PERIOD) < 0
                || now.minus(lastChange).compareTo(PAUSE_BETWEEN_CHANGES) < 0) {
            return Optional.empty();
        }
        Optional<Change> c = copy(view).or(() -> first(view));
        c.ifPresent(change -> lastChange = now);
        return c;
    }

    /** A copy goes from a fuller store to the emptiest while they differ by two, and no part gets into fewer zones. */
    private Optional<Change> copy(ServiceView view) {
        Map<String, Integer> load = load(view.placement());
        Comparator<String> byLoad =
                Comparator.<String>comparingInt(n -> load.getOrDefault(n, 0)).thenComparing(n -> n);
        String least = Collections.min(members, byLoad);
        return members.stream()
                .sorted(byLoad.reversed())
                .filter(n -> load.getOrDefault(n, 0) - load.getOrDefault(least, 0) >= 2)
                .flatMap(fuller -> view.placement().entrySet().stream()
                        .sorted(Map.Entry.comparingByKey())
                        .filter(entry -> entry.getValue().contains(fuller)
                                && !entry.getValue().contains(least))
                        .map(entry -> new Change(
                                entry.getKey(), replaced(entry.getValue(), fuller, least), Optional.of(least)))
                        .filter(change -> zones(view.members(), change.replicas())
                                >= zones(view.members(), view.placement().get(change.partition()))))
                .findFirst();
    }

    private static List<String> replaced(List<String> copies, String one, String by) {
        List<String> out = new ArrayList<>(copies);
        Collections.replaceAll(out, one, by);
        return List.copyOf(out);
    }

    private static long zones(Map<String, MemberLease> members, List<String> copies) {
        return new HashSet<>(copies.stream().map(c -> members.get(c).zone()).toList()).size();
    }

    /** The first of a part's list owns it: those are spread in the same way, by order alone. */
    private Optional<Change> first(ServiceView view) {
        Map<String, Integer> firsts = firsts(view.placement());
        return view.placement().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .flatMap(entry -> {
                    List<String> copies = entry.getValue();
                    return copies.stream()
                            .filter(c -> firsts.getOrDefault(copies.get(0), 0) - firsts.getOrDefault(c, 0) >= 2)
                            .map(c -> {
                                List<String> out = new ArrayList<>(copies);
                                Collections.swap(out, 0, out.indexOf(c));
                                return new Change(entry.getKey(), List.copyOf(out), Optional.empty());
                            });
                })
                .findFirst();
    }

    static Map<String, Integer> load(Map<String, List<String>> placement) {
        Map<String, Integer> out = new HashMap<>();
        placement.values().forEach(c -> c.forEach(n -> out.merge(n, 1, Integer::sum)));
        return out;
    }

    static Map<String, Integer> firsts(Map<String, List<String>> placement) {
        Map<String, Integer> out = new HashMap<>();
        placement.values().forEach(c -> out.merge(c.get(0), 1, Integer::sum));
        return out;
    }
}

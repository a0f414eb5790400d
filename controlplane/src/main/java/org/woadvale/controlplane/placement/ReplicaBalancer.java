package org.woadvale.controlplane.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.woadvale.common.membership.FaultTolerance;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceView;

/**
 * Moves replicas and preferred leaders to stores that have fewer, one change at a time and only while the set of stores
 * is stable.
 */
final class ReplicaBalancer {
    private static final Duration STABLE_PERIOD = Duration.ofSeconds(15);
    private static final Duration PAUSE_BETWEEN_CHANGES = Duration.ofSeconds(3);

    /** Smaller differences count as balanced. */
    private static final int MIN_DIFFERENCE = 2;

    /** The new replicas of a partition, and the store to be added; empty if no store is added. */
    record Change(String partition, List<String> replicas, Optional<String> added) {}

    private final FaultTolerance faultTolerance;
    private Set<String> members = Set.of();
    private Duration stableSince = Duration.ZERO;
    private Duration lastChange = Duration.ZERO;

    ReplicaBalancer(FaultTolerance faultTolerance) {
        this.faultTolerance = faultTolerance;
    }

    void observe(Set<String> stores, Duration now) {
        if (!stores.equals(members)) {
            members = Set.copyOf(stores);
            stableSince = now;
        }
    }

    Optional<Change> next(ServiceView view, Duration now) {
        boolean allPresent = view.placement().values().stream().allMatch(members::containsAll);
        if (!allPresent
                || now.minus(stableSince).compareTo(STABLE_PERIOD) < 0
                || now.minus(lastChange).compareTo(PAUSE_BETWEEN_CHANGES) < 0) {
            return Optional.empty();
        }
        Optional<Change> change = moveReplica(view).or(() -> reorder(view));
        change.ifPresent(found -> lastChange = now);
        return change;
    }

    /**
     * Moves a replica from a store with more replicas to the store with the fewest while they differ by at least two,
     * unless the partition would be spread less evenly.
     */
    private Optional<Change> moveReplica(ServiceView view) {
        Map<String, Integer> load = load(view.placement());
        Comparator<String> byLoad = Comparator.<String>comparingInt(store -> load.getOrDefault(store, 0))
                .thenComparing(store -> store);
        String target = Collections.min(members, byLoad);
        return members.stream()
                .sorted(byLoad.reversed())
                .filter(store -> load.getOrDefault(store, 0) - load.getOrDefault(target, 0) >= MIN_DIFFERENCE)
                .flatMap(source -> view.placement().entrySet().stream()
                        .sorted(Map.Entry.comparingByKey())
                        .filter(entry -> entry.getValue().contains(source)
                                && !entry.getValue().contains(target))
                        .map(entry -> new Change(
                                entry.getKey(), replaced(entry.getValue(), source, target), Optional.of(target)))
                        .filter(change -> faultTolerance.isAtLeastAsSpread(
                                zones(view.members(), view.placement().get(change.partition())),
                                zones(view.members(), change.replicas()))))
                .findFirst();
    }

    private static List<String> replaced(List<String> replicas, String former, String next) {
        List<String> changed = new ArrayList<>(replicas);
        Collections.replaceAll(changed, former, next);
        return List.copyOf(changed);
    }

    private static List<String> zones(Map<String, MemberLease> members, List<String> replicas) {
        return replicas.stream().map(store -> members.get(store).zone()).toList();
    }

    /**
     * Spreads the preferred leaders in the same way. The first replica of a partition is its preferred leader, so a new
     * order of the replicas is enough.
     */
    private Optional<Change> reorder(ServiceView view) {
        Map<String, Integer> preferred = preferredLeaders(view.placement());
        return view.placement().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .flatMap(entry -> {
                    List<String> replicas = entry.getValue();
                    int leaderCount = preferred.getOrDefault(replicas.get(0), 0);
                    return replicas.stream()
                            .filter(store -> leaderCount - preferred.getOrDefault(store, 0) >= MIN_DIFFERENCE)
                            .map(store -> {
                                List<String> reordered = new ArrayList<>(replicas);
                                Collections.swap(reordered, 0, reordered.indexOf(store));
                                return new Change(entry.getKey(), List.copyOf(reordered), Optional.empty());
                            });
                })
                .findFirst();
    }

    /** The number of replicas on each store. */
    static Map<String, Integer> load(Map<String, List<String>> placement) {
        Map<String, Integer> load = new HashMap<>();
        placement.values().forEach(replicas -> replicas.forEach(store -> load.merge(store, 1, Integer::sum)));
        return load;
    }

    /** The number of partitions of which each store is the preferred leader. */
    static Map<String, Integer> preferredLeaders(Map<String, List<String>> placement) {
        Map<String, Integer> preferred = new HashMap<>();
        placement.values().forEach(replicas -> preferred.merge(replicas.get(0), 1, Integer::sum));
        return preferred;
    }
}

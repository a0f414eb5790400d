package org.woadvale.controlplane.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.woadvale.common.membership.LedGroup;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;

/**
 * Chooses three stores in different zones for each message partition, and replaces those that are gone. Holds only what
 * the leader has seen; a new leader begins anew.
 */
final class ReplicaPlacement {
    static final int REPLICAS = 3;
    /** Without a newcomer a store is replaced only after it has been away for so long. */
    static final Duration GIVE_UP_AFTER = Duration.ofSeconds(10);

    /** A move that takes longer is given up. */
    private static final Duration MOVE_LIMIT = Duration.ofSeconds(60);

    /** After the third store has come, for stores that start with them. */
    private static final Duration FIRST_PLACEMENT_DELAY = Duration.ofSeconds(2);

    private record Move(String to, Duration since) {}

    private final Map<String, Duration> lastSeen = new HashMap<>();
    private final Map<String, Move> moving = new HashMap<>();
    /** Stores whose successor was there when they went: what they still hold moves without another wait. */
    private final Set<String> succeeded = new HashSet<>();

    private final ReplicaBalancer balancer = new ReplicaBalancer();
    private Duration allPlacedSince = Duration.ZERO;

    /** The placement that should be; the present one where nothing is to be done. */
    Map<String, List<String>> next(ServiceView view, Duration now) {
        view.members().keySet().forEach(store -> lastSeen.put(store, now));
        Map<String, List<String>> present = view.placement();
        if (present.isEmpty()) {
            return first(view.members(), now);
        }
        moving.entrySet().removeIf(entry -> ended(view, entry.getKey(), entry.getValue(), now));
        balancer.observe(view.members().keySet(), now);
        noteSucceeded(view);
        Map<String, List<String>> next = new TreeMap<>(present);
        for (String partition : ServiceNames.messageParts()) {
            if (!moving.containsKey(partition)) {
                repaired(view, partition, next, now).ifPresent(change -> begin(change, next, now));
            }
        }
        if (moving.isEmpty() && view.members().values().stream().noneMatch(MemberLease::leaving)) {
            balancer.next(view, now).ifPresent(change -> begin(change, next, now));
        }
        return next;
    }

    private void begin(ReplicaBalancer.Change change, Map<String, List<String>> next, Duration now) {
        change.to().ifPresent(to -> moving.put(change.partition(), new Move(to, now)));
        next.put(change.partition(), change.replicas());
    }

    /** The newcomer counts in the group; or the move was not written; or the newcomer is gone, or never arrived. */
    private static boolean ended(ServiceView view, String partition, Move move, Duration now) {
        return !view.placement().getOrDefault(partition, List.of()).contains(move.to())
                || !view.members().containsKey(move.to())
                || now.minus(move.since()).compareTo(MOVE_LIMIT) > 0
                || group(view, partition)
                        .map(ledGroup -> ledGroup.members().contains(move.to()))
                        .orElse(false);
    }

    /** The group of a partition by the report of the highest term. */
    private static Optional<LedGroup> group(ServiceView view, String partition) {
        return view.members().values().stream()
                .flatMap(lease -> Optional.ofNullable(lease.groups().get(partition)).stream())
                .max(Comparator.comparingLong(LedGroup::term));
    }

    /** A store that leaves or is gone while a newcomer stands ready has been replaced by it: nothing is waited for. */
    private void noteSucceeded(ServiceView view) {
        Set<String> placed = new HashSet<>();
        view.placement().values().forEach(placed::addAll);
        succeeded.removeIf(store -> !placed.contains(store) || serves(view, store));
        boolean newcomer = view.members().values().stream().anyMatch(lease -> lease.newcomer() && !lease.leaving());
        if (newcomer) {
            placed.stream().filter(store -> !serves(view, store)).forEach(succeeded::add);
        }
    }

    private static boolean serves(ServiceView view, String store) {
        return Optional.ofNullable(view.members().get(store))
                .filter(lease -> !lease.leaving())
                .isPresent();
    }

    private boolean isGone(String store, Duration now) {
        lastSeen.putIfAbsent(store, now);
        return succeeded.contains(store) || now.minus(lastSeen.get(store)).compareTo(GIVE_UP_AFTER) > 0;
    }

    private Optional<ReplicaBalancer.Change> repaired(
            ServiceView view, String partition, Map<String, List<String>> next, Duration now) {
        List<String> replicas = new ArrayList<>(next.get(partition));
        for (int i = 0; i < replicas.size(); i++) {
            if (isGone(replicas.get(i), now)) {
                List<String> rest = new ArrayList<>(replicas);
                rest.remove(i);
                List<String> spare = candidates(view.members(), rest, next).stream()
                        .filter(store -> serves(view, store) && !replicas.contains(store))
                        .toList();
                if (!spare.isEmpty()) {
                    replicas.set(i, spare.get(0));
                    return Optional.of(
                            new ReplicaBalancer.Change(partition, List.copyOf(replicas), Optional.of(spare.get(0))));
                }
            }
        }
        return Optional.empty();
    }

    private Map<String, List<String>> first(Map<String, MemberLease> members, Duration now) {
        if (members.size() < REPLICAS) {
            return Map.of();
        }
        // a moment after the third store, so that a fourth that starts with them gets its share
        allPlacedSince = allPlacedSince.isZero() ? now : allPlacedSince;
        if (now.minus(allPlacedSince).compareTo(FIRST_PLACEMENT_DELAY) < 0) {
            return Map.of();
        }
        Map<String, List<String>> placement = new TreeMap<>();
        for (String partition : ServiceNames.messageParts()) {
            List<String> replicas = new ArrayList<>();
            while (replicas.size() < REPLICAS) {
                replicas.add(candidates(members, replicas, placement).get(0));
            }
            placement.put(partition, leadersSpread(replicas, placement));
        }
        return placement;
    }

    /** The first of the list is the preferred leader: that is spread evenly. */
    private static List<String> leadersSpread(List<String> replicas, Map<String, List<String>> placement) {
        Map<String, Integer> preferred = ReplicaBalancer.preferredLeaders(placement);
        List<String> sorted = new ArrayList<>(replicas);
        sorted.sort(Comparator.<String>comparingInt(store -> preferred.getOrDefault(store, 0))
                .thenComparing(store -> store));
        return List.copyOf(sorted);
    }

    /** Those not yet used, other zones first, then the least loaded. */
    private static List<String> candidates(
            Map<String, MemberLease> members, List<String> used, Map<String, List<String>> placement) {
        Set<String> zones = new HashSet<>();
        used.forEach(store ->
                zones.add(members.containsKey(store) ? members.get(store).zone() : "?"));
        Map<String, Integer> load = ReplicaBalancer.load(placement);
        return members.keySet().stream()
                .filter(store -> !used.contains(store))
                .sorted(Comparator.<String>comparingInt(
                                store -> zones.contains(members.get(store).zone()) ? 1 : 0)
                        .thenComparingInt(store -> load.getOrDefault(store, 0))
                        .thenComparing(store -> store))
                .toList();
    }
}

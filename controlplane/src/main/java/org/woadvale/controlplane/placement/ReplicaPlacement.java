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
import java.util.TreeMap;
import org.woadvale.common.membership.FaultTolerance;
import org.woadvale.common.membership.LedGroup;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;

/**
 * Chooses the stores of each message partition: as many as the fault tolerance requires, spread over zones. Replaces
 * lost stores, and enlarges groups that are too small once more stores are available. Holds only what the current
 * leader has observed; a new leader starts without it.
 */
final class ReplicaPlacement {
    /**
     * How long a store must have been absent before it is replaced, if no new store with an empty disk is available.
     */
    static final Duration REPLACE_AFTER = Duration.ofSeconds(10);

    /** A move that takes longer is abandoned. */
    private static final Duration MOVE_TIMEOUT = Duration.ofSeconds(60);

    /**
     * How long the first placement waits after the third store has joined, so that stores started together with it are
     * included.
     */
    private static final Duration FIRST_PLACEMENT_DELAY = Duration.ofSeconds(2);

    private record Move(String target, Duration since) {}

    private final Map<String, Duration> lastSeen = new HashMap<>();
    private final Map<String, Move> moving = new HashMap<>();
    /**
     * Stores that left while a new store was available: their remaining replicas are replaced without further delay.
     */
    private final Set<String> superseded = new HashSet<>();

    private final FaultTolerance faultTolerance;
    private final ReplicaBalancer balancer;
    private Duration enoughStoresSince = Duration.ZERO;

    ReplicaPlacement(FaultTolerance faultTolerance) {
        this.faultTolerance = faultTolerance;
        this.balancer = new ReplicaBalancer(faultTolerance);
    }

    /** Returns the desired placement; equal to the current one if nothing has to change. */
    Map<String, List<String>> next(ServiceView view, Duration now) {
        view.members().keySet().forEach(store -> lastSeen.put(store, now));
        Map<String, List<String>> current = view.placement();
        if (current.isEmpty()) {
            return first(view.members(), now);
        }
        moving.entrySet().removeIf(entry -> isOver(view, entry.getKey(), entry.getValue(), now));
        balancer.observe(view.members().keySet(), now);
        markSuperseded(view);
        Map<String, List<String>> next = new TreeMap<>(current);
        for (String partition : ServiceNames.messagePartitions()) {
            if (!moving.containsKey(partition)) {
                repaired(view, partition, next, now)
                        .or(() -> enlarged(view, partition, next))
                        .ifPresent(change -> begin(change, next, now));
            }
        }
        if (moving.isEmpty() && view.members().values().stream().noneMatch(MemberLease::leaving)) {
            balancer.next(view, now).ifPresent(change -> begin(change, next, now));
        }
        return next;
    }

    private void begin(ReplicaBalancer.Change change, Map<String, List<String>> next, Duration now) {
        change.added().ifPresent(store -> moving.put(change.partition(), new Move(store, now)));
        next.put(change.partition(), change.replicas());
    }

    /**
     * Whether a move is over: the new store has become a member of the group, the move was not written, or the new
     * store has left or not caught up in time.
     */
    private static boolean isOver(ServiceView view, String partition, Move move, Duration now) {
        return !view.placement().getOrDefault(partition, List.of()).contains(move.target())
                || !view.members().containsKey(move.target())
                || now.minus(move.since()).compareTo(MOVE_TIMEOUT) > 0
                || group(view, partition)
                        .map(ledGroup -> ledGroup.members().contains(move.target()))
                        .orElse(false);
    }

    /** The group of a partition according to the report with the highest term. */
    private static Optional<LedGroup> group(ServiceView view, String partition) {
        return view.members().values().stream()
                .flatMap(lease -> Optional.ofNullable(lease.groups().get(partition)).stream())
                .max(Comparator.comparingLong(LedGroup::term));
    }

    /**
     * Marks stores that leave or are lost while a new store is available, so that they are replaced without waiting.
     */
    private void markSuperseded(ServiceView view) {
        Set<String> placed = new HashSet<>();
        view.placement().values().forEach(placed::addAll);
        superseded.removeIf(store -> !placed.contains(store) || serves(view, store));
        boolean newStoreAvailable =
                view.members().values().stream().anyMatch(lease -> lease.newcomer() && !lease.leaving());
        if (newStoreAvailable) {
            placed.stream().filter(store -> !serves(view, store)).forEach(superseded::add);
        }
    }

    private static boolean serves(ServiceView view, String store) {
        return Optional.ofNullable(view.members().get(store))
                .filter(lease -> !lease.leaving())
                .isPresent();
    }

    private boolean isLost(String store, Duration now) {
        lastSeen.putIfAbsent(store, now);
        return superseded.contains(store) || now.minus(lastSeen.get(store)).compareTo(REPLACE_AFTER) > 0;
    }

    private Optional<ReplicaBalancer.Change> repaired(
            ServiceView view, String partition, Map<String, List<String>> next, Duration now) {
        for (String store : next.get(partition)) {
            if (isLost(store, now)) {
                Optional<ReplicaBalancer.Change> change =
                        replaced(view, partition, store, next).or(() -> withoutLostStore(view, partition, store, next));
                if (change.isPresent()) {
                    return change;
                }
            }
        }
        return Optional.empty();
    }

    private Optional<ReplicaBalancer.Change> replaced(
            ServiceView view, String partition, String lost, Map<String, List<String>> next) {
        List<String> replicas = next.get(partition);
        List<String> remaining = without(replicas, lost);
        return findSpare(view, replicas, remaining, next).map(spare -> {
            List<String> changed = new ArrayList<>(replicas);
            Collections.replaceAll(changed, lost, spare);
            return new ReplicaBalancer.Change(partition, List.copyOf(changed), Optional.of(spare));
        });
    }

    /**
     * Removes a lost store from a group that has no leader yet, since bootstrapping a group requires all of its
     * members. Another store is added once one is available. A group that was bootstrapped before keeps its members
     * whatever the placement says.
     */
    private static Optional<ReplicaBalancer.Change> withoutLostStore(
            ServiceView view, String partition, String lost, Map<String, List<String>> next) {
        List<String> remaining = without(next.get(partition), lost);
        boolean leaderless = group(view, partition).isEmpty();
        return leaderless && remaining.size() >= FaultTolerance.SMALLEST_GROUP
                ? Optional.of(new ReplicaBalancer.Change(partition, remaining, Optional.empty()))
                : Optional.empty();
    }

    /**
     * Adds a replica to a group that is smaller than the fault tolerance requires, if the serving stores allow a larger
     * odd size.
     */
    private Optional<ReplicaBalancer.Change> enlarged(
            ServiceView view, String partition, Map<String, List<String>> next) {
        List<String> replicas = next.get(partition);
        long serving = view.members().keySet().stream()
                .filter(store -> serves(view, store))
                .count();
        if (replicas.size() >= faultTolerance.attainableGroupSize((int) serving)) {
            return Optional.empty();
        }
        return findSpare(view, replicas, replicas, next).map(spare -> {
            List<String> changed = new ArrayList<>(replicas);
            changed.add(spare);
            return new ReplicaBalancer.Change(partition, List.copyOf(changed), Optional.of(spare));
        });
    }

    /** Finds a serving store that is not among the replicas, preferably in a zone with few of the remaining ones. */
    private Optional<String> findSpare(
            ServiceView view, List<String> replicas, List<String> remaining, Map<String, List<String>> next) {
        return candidates(view.members(), remaining, next).stream()
                .filter(store -> serves(view, store) && !replicas.contains(store))
                .findFirst();
    }

    private static List<String> without(List<String> replicas, String store) {
        return replicas.stream().filter(replica -> !replica.equals(store)).toList();
    }

    private Map<String, List<String>> first(Map<String, MemberLease> members, Duration now) {
        if (members.size() < FaultTolerance.SMALLEST_GROUP) {
            return Map.of();
        }
        // delayed, so that stores which start at the same time also get replicas
        enoughStoresSince = enoughStoresSince.isZero() ? now : enoughStoresSince;
        if (now.minus(enoughStoresSince).compareTo(FIRST_PLACEMENT_DELAY) < 0) {
            return Map.of();
        }
        int groupSize = faultTolerance.attainableGroupSize(members.size());
        Map<String, List<String>> placement = new TreeMap<>();
        for (String partition : ServiceNames.messagePartitions()) {
            List<String> replicas = new ArrayList<>();
            while (replicas.size() < groupSize) {
                replicas.add(candidates(members, replicas, placement).get(0));
            }
            placement.put(partition, spreadLeaders(replicas, placement));
        }
        return placement;
    }

    /** Orders the replicas so that the preferred leaders, the first of each list, are spread evenly. */
    private static List<String> spreadLeaders(List<String> replicas, Map<String, List<String>> placement) {
        Map<String, Integer> preferred = ReplicaBalancer.preferredLeaders(placement);
        List<String> sorted = new ArrayList<>(replicas);
        sorted.sort(Comparator.<String>comparingInt(store -> preferred.getOrDefault(store, 0))
                .thenComparing(store -> store));
        return List.copyOf(sorted);
    }

    /** The unused stores, ordered by zone (fewest used stores first) and then by load. */
    private List<String> candidates(
            Map<String, MemberLease> members, List<String> used, Map<String, List<String>> placement) {
        List<String> zones = used.stream()
                .filter(members::containsKey)
                .map(store -> members.get(store).zone())
                .toList();
        Map<String, Integer> load = ReplicaBalancer.load(placement);
        Comparator<String> byZone = faultTolerance.byLeastUsedZone(zones);
        return members.keySet().stream()
                .filter(store -> !used.contains(store))
                .sorted(Comparator.<String, String>comparing(
                                store -> members.get(store).zone(), byZone)
                        .thenComparingInt(store -> load.getOrDefault(store, 0))
                        .thenComparing(store -> store))
                .toList();
    }
}

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
 * Chooses the stores of each message partition, as many as the fault tolerance asks for and spread over zones, replaces
 * those that are gone, and adds to a group that is too small once more stores are there. Holds only what the leader has
 * seen; a new leader begins anew.
 */
final class ReplicaPlacement {
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

    private final FaultTolerance faultTolerance;
    private final ReplicaBalancer balancer;
    private Duration allPlacedSince = Duration.ZERO;

    ReplicaPlacement(FaultTolerance faultTolerance) {
        this.faultTolerance = faultTolerance;
        this.balancer = new ReplicaBalancer(faultTolerance);
    }

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
        for (String partition : ServiceNames.messagePartitions()) {
            if (!moving.containsKey(partition)) {
                repaired(view, partition, next, now)
                        .or(() -> grown(view, partition, next))
                        .ifPresent(change -> begin(change, next, now));
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
        for (String store : next.get(partition)) {
            if (isGone(store, now)) {
                Optional<ReplicaBalancer.Change> change =
                        replaced(view, partition, store, next).or(() -> withoutUnfounded(view, partition, store, next));
                if (change.isPresent()) {
                    return change;
                }
            }
        }
        return Optional.empty();
    }

    private Optional<ReplicaBalancer.Change> replaced(
            ServiceView view, String partition, String gone, Map<String, List<String>> next) {
        List<String> replicas = next.get(partition);
        List<String> rest = except(replicas, gone);
        return spare(view, replicas, rest, next).map(spare -> {
            List<String> changed = new ArrayList<>(replicas);
            Collections.replaceAll(changed, gone, spare);
            return new ReplicaBalancer.Change(partition, List.copyOf(changed), Optional.of(spare));
        });
    }

    /**
     * A group is founded only by all of its members. One that no store leads yet does without a store that is gone, and
     * gets another once there is one. A group that was founded before keeps its members whatever the placement says.
     */
    private static Optional<ReplicaBalancer.Change> withoutUnfounded(
            ServiceView view, String partition, String gone, Map<String, List<String>> next) {
        List<String> rest = except(next.get(partition), gone);
        boolean unfounded = group(view, partition).isEmpty();
        return unfounded && rest.size() >= FaultTolerance.SMALLEST_GROUP
                ? Optional.of(new ReplicaBalancer.Change(partition, rest, Optional.empty()))
                : Optional.empty();
    }

    /** One more replica for a group that is smaller than the fault tolerance asks for, if that makes it bear more. */
    private Optional<ReplicaBalancer.Change> grown(ServiceView view, String partition, Map<String, List<String>> next) {
        List<String> replicas = next.get(partition);
        long serving = view.members().keySet().stream()
                .filter(store -> serves(view, store))
                .count();
        if (replicas.size() >= faultTolerance.attainableGroupSize((int) serving)) {
            return Optional.empty();
        }
        return spare(view, replicas, replicas, next).map(spare -> {
            List<String> changed = new ArrayList<>(replicas);
            changed.add(spare);
            return new ReplicaBalancer.Change(partition, List.copyOf(changed), Optional.of(spare));
        });
    }

    /** A store that serves and is not among the replicas, spread from those that stay. */
    private Optional<String> spare(
            ServiceView view, List<String> replicas, List<String> staying, Map<String, List<String>> next) {
        return candidates(view.members(), staying, next).stream()
                .filter(store -> serves(view, store) && !replicas.contains(store))
                .findFirst();
    }

    private static List<String> except(List<String> replicas, String store) {
        return replicas.stream().filter(replica -> !replica.equals(store)).toList();
    }

    private Map<String, List<String>> first(Map<String, MemberLease> members, Duration now) {
        if (members.size() < FaultTolerance.SMALLEST_GROUP) {
            return Map.of();
        }
        // a moment after the third store, so that those that start with them get their share
        allPlacedSince = allPlacedSince.isZero() ? now : allPlacedSince;
        if (now.minus(allPlacedSince).compareTo(FIRST_PLACEMENT_DELAY) < 0) {
            return Map.of();
        }
        int groupSize = faultTolerance.attainableGroupSize(members.size());
        Map<String, List<String>> placement = new TreeMap<>();
        for (String partition : ServiceNames.messagePartitions()) {
            List<String> replicas = new ArrayList<>();
            while (replicas.size() < groupSize) {
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

    /** Those not yet used, the zones with the fewest of the used ones first, then the least loaded. */
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

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

/** Draws three stores in different zones for each message partition, and replaces those that go. design 6.5, 6.9 */
final class ReplicaPlacement {
    static final int REPLICAS = 3;
    /** Without a newcomer a store is replaced only after it has been away for so long. */
    static final Duration GIVE_UP_AFTER = Duration.ofSeconds(10);

    private static final Duration MOVE_LIMIT = Duration.ofSeconds(60);

    private record Move(String to, Duration since) {}

    private final Map<String, Duration> lastSeen = new HashMap<>();
    private final Map<String, Move> moving = new HashMap<>();
    /** Stores whose successor was there when they went: what they still hold moves without another wait. */
    private final Set<String> succeeded = new HashSet<>();

    private final ReplicaBalancer balancer = new ReplicaBalancer();
    private Duration allPlacedSince = Duration.ZERO;

    /** The placement that should be; the present one where nothing is to be done. */
    Map<String, List<String>> next(ServiceView view, Duration now) {
        view.members().keySet().forEach(n -> lastSeen.put(n, now));
        Map<String, List<String>> present = view.placement();
        if (present.isEmpty()) {
            return first(view.members(), now);
        }
        moving.entrySet().removeIf(entry -> ended(view, entry.getKey(), entry.getValue(), now));
        balancer.observe(view.members().keySet(), now);
        noteSucceeded(view);
        Map<String, List<String>> out = new TreeMap<>(present);
        for (String part : ServiceNames.messageParts()) {
            if (!moving.containsKey(part)) {
                repaired(view, part, out, now).ifPresent(change -> begin(change, out, now));
            }
        }
        if (moving.isEmpty() && view.members().values().stream().noneMatch(MemberLease::leaving)) {
            balancer.next(view, now).ifPresent(change -> begin(change, out, now));
        }
        return out;
    }

    private void begin(ReplicaBalancer.Change change, Map<String, List<String>> out, Duration now) {
        change.to().ifPresent(to -> moving.put(change.partition(), new Move(to, now)));
        out.put(change.partition(), change.replicas());
    }

    /** The newcomer counts in the group; or the move was not written; or the newcomer is gone, or never arrived. */
    private static boolean ended(ServiceView view, String part, Move move, Duration now) {
        return !view.placement().getOrDefault(part, List.of()).contains(move.to())
                || !view.members().containsKey(move.to())
                || now.minus(move.since()).compareTo(MOVE_LIMIT) > 0
                || group(view, part)
                        .map(ledGroup -> ledGroup.members().contains(move.to()))
                        .orElse(false);
    }

    /** The group of a partition by the report of the highest term. */
    private static Optional<LedGroup> group(ServiceView view, String part) {
        return view.members().values().stream()
                .flatMap(lease -> Optional.ofNullable(lease.groups().get(part)).stream())
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

    private boolean gone(String store, Duration now) {
        lastSeen.putIfAbsent(store, now);
        return succeeded.contains(store) || now.minus(lastSeen.get(store)).compareTo(GIVE_UP_AFTER) > 0;
    }

    private Optional<ReplicaBalancer.Change> repaired(
            ServiceView view, String part, Map<String, List<String>> out, Duration now) {
        List<String> copies = new ArrayList<>(out.get(part));
        for (int i = 0; i < copies.size(); i++) {
            if (gone(copies.get(i), now)) {
                List<String> rest = new ArrayList<>(copies);
                rest.remove(i);
                List<String> spare = candidates(view.members(), rest, out).stream()
                        .filter(store -> serves(view, store) && !copies.contains(store))
                        .toList();
                if (!spare.isEmpty()) {
                    copies.set(i, spare.get(0));
                    return Optional.of(
                            new ReplicaBalancer.Change(part, List.copyOf(copies), Optional.of(spare.get(0))));
                }
            }
        }
        return Optional.empty();
    }

    private Map<String, List<String>> first(Map<String, MemberLease> members, Duration now) {
        if (members.size() < REPLICAS) {
            return Map.of();
        }
        // design 6.5: wait a moment after the third store, so that a fourth that starts with them gets its share
        allPlacedSince = allPlacedSince.isZero() ? now : allPlacedSince;
        if (now.minus(allPlacedSince).compareTo(Duration.ofSeconds(2)) < 0) {
            return Map.of();
        }
        Map<String, List<String>> out = new TreeMap<>();
        for (String part : ServiceNames.messageParts()) {
            List<String> copies = new ArrayList<>();
            while (copies.size() < REPLICAS) {
                copies.add(candidates(members, copies, out).get(0));
            }
            out.put(part, firstByTurn(copies, out));
        }
        return out;
    }

    /** The first of the list founds and is drawn as owner first: spread that evenly. */
    private static List<String> firstByTurn(List<String> copies, Map<String, List<String>> out) {
        Map<String, Integer> firsts = ReplicaBalancer.firsts(out);
        List<String> sorted = new ArrayList<>(copies);
        sorted.sort(
                Comparator.<String>comparingInt(n -> firsts.getOrDefault(n, 0)).thenComparing(n -> n));
        return List.copyOf(sorted);
    }

    /** Those not yet used, other zones first, then the least loaded. */
    private static List<String> candidates(
            Map<String, MemberLease> members, List<String> used, Map<String, List<String>> out) {
        Set<String> zones = new HashSet<>();
        used.forEach(u -> zones.add(members.containsKey(u) ? members.get(u).zone() : "?"));
        Map<String, Integer> load = ReplicaBalancer.load(out);
        return members.keySet().stream()
                .filter(n -> !used.contains(n))
                .sorted(Comparator.<String>comparingInt(
                                n -> zones.contains(members.get(n).zone()) ? 1 : 0)
                        .thenComparingInt(n -> load.getOrDefault(n, 0))
                        .thenComparing(n -> n))
                .toList();
    }
}

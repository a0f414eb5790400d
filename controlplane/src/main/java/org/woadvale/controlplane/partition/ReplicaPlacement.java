package org.woadvale.controlplane.partition;

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
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;

/** Draws three stores in different zones for each message part; moves as little as it can, a few at a time. design 6.5 */
final class ReplicaPlacement {
    static final int COPIES = 3;
    /** A store is replaced only after it has been away for so long. */
    static final Duration GIVEN_UP = Duration.ofSeconds(10);
    /** So many members may be on their way at once; one that does not arrive stops counting after a while. */
    static final int MOST_MOVING = 2;

    private static final Duration TOLD = Duration.ofMillis(1500);
    private static final Duration MOVE_LIMIT = Duration.ofSeconds(60);

    private record Move(String to, Duration since) {}

    private final Map<String, Duration> lastSeen = new HashMap<>();
    private final Map<String, Move> moving = new HashMap<>();
    private final ReplicaBalancer evening = new ReplicaBalancer();
    private Duration firstFull = Duration.ZERO;

    /** The placement that should be; the present one where nothing is to be done. */
    Map<String, List<String>> next(ServiceView v, Duration now) {
        v.members().keySet().forEach(n -> lastSeen.put(n, now));
        Map<String, List<String>> present = v.placement();
        if (present.isEmpty()) {
            return first(v.members(), now);
        }
        moving.entrySet().removeIf(e -> arrived(v, e.getKey(), e.getValue(), now));
        evening.look(v.members().keySet(), now);
        if (moving.size() >= MOST_MOVING) {
            return present;
        }
        Map<String, List<String>> out = new TreeMap<>(present);
        for (String part : ServiceNames.messageParts()) {
            Optional<List<String>> repaired = repaired(v, part, out, now);
            if (repaired.isPresent() && !moving.containsKey(part)) {
                List<String> copies = repaired.get();
                String to = copies.stream()
                        .filter(c -> !present.get(part).contains(c))
                        .findFirst()
                        .orElseThrow();
                moving.put(part, new Move(to, now));
                out.put(part, copies);
                return out;
            }
        }
        if (moving.isEmpty()) {
            evening.next(v, now).ifPresent(change -> {
                change.to().ifPresent(to -> moving.put(change.part(), new Move(to, now)));
                out.put(change.part(), change.copies());
            });
        }
        return out;
    }

    /** The store has been told, and says that it counts in the part; or it is given up. */
    private static boolean arrived(ServiceView v, String part, Move m, Duration now) {
        Duration age = now.minus(m.since());
        boolean counts = Optional.ofNullable(v.members().get(m.to()))
                .map(s -> !s.notVoting().contains(part))
                .orElse(false);
        return age.compareTo(MOVE_LIMIT) > 0 || age.compareTo(TOLD) > 0 && counts;
    }

    private Optional<List<String>> repaired(ServiceView v, String part, Map<String, List<String>> out, Duration now) {
        List<String> copies = new ArrayList<>(out.get(part));
        for (int i = 0; i < copies.size(); i++) {
            String gone = copies.get(i);
            lastSeen.putIfAbsent(gone, now);
            if (now.minus(lastSeen.get(gone)).compareTo(GIVEN_UP) > 0) {
                List<String> rest = new ArrayList<>(copies);
                rest.remove(gone);
                List<String> spare = candidates(v.members(), rest, out);
                if (!spare.isEmpty()) {
                    copies.set(i, spare.get(0));
                    return Optional.of(List.copyOf(copies));
                }
            }
        }
        return Optional.empty();
    }

    private Map<String, List<String>> first(Map<String, MemberLease> members, Duration now) {
        if (members.size() < COPIES) {
            return Map.of();
        }
        // design 6.5: wait a moment after the third store, so that a fourth that starts with them gets its share
        firstFull = firstFull.isZero() ? now : firstFull;
        if (now.minus(firstFull).compareTo(Duration.ofSeconds(2)) < 0) {
            return Map.of();
        }
        Map<String, List<String>> out = new TreeMap<>();
        for (String part : ServiceNames.messageParts()) {
            List<String> copies = new ArrayList<>();
            while (copies.size() < COPIES) {
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

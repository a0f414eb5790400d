package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Members that a committed change has removed: the leader goes on sending to them until they know of it. */
final class DepartingMembers {
    private record Departure(long confirmedIndex, Duration since) {}

    private final Map<String, Departure> departures = new TreeMap<>();

    /** The entry at this index tells those followers that do not stay that they are removed. */
    void addAllExcept(Set<String> staying, Set<String> followers, long confirmedIndex, Duration now) {
        followers.stream()
                .filter(node -> !staying.contains(node))
                .forEach(node -> departures.put(node, new Departure(confirmedIndex, now)));
    }

    /** Those that have not synced the entry, and left after the given time; the others are forgotten. */
    Set<String> notNotified(Followers followers, Duration oldest) {
        departures
                .entrySet()
                .removeIf(departure -> departure.getValue().since().compareTo(oldest) < 0
                        || isNotified(followers, departure.getKey(), departure.getValue()));
        return departures.keySet();
    }

    private static boolean isNotified(Followers followers, String node, Departure departure) {
        return followers
                .progress(node)
                .map(progress -> progress.matchIndex() >= departure.confirmedIndex())
                .orElse(true);
    }

    void clear() {
        departures.clear();
    }
}

package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Members that a committed change has removed: the leader sends to them on until they know of it. design 6.9 */
final class DepartingMembers {
    private record Departure(long confirmedIndex, Duration since) {}

    private final Map<String, Departure> departures = new TreeMap<>();

    /** The entry at this index tells those followers that do not stay that they are removed. */
    void addAllBut(Set<String> staying, Set<String> followers, long confirmedAt, Duration now) {
        followers.stream()
                .filter(node -> !staying.contains(node))
                .forEach(node -> departures.put(node, new Departure(confirmedAt, now)));
    }

    /** Those that have not synced the entry, and left after the given time. */
    Set<String> notNotified(Map<String, LogAppender> followers, Duration oldest) {
        departures
                .entrySet()
                .removeIf(departure -> departure.getValue().since().compareTo(oldest) < 0
                        || isNotified(followers, departure.getKey(), departure.getValue()));
        return departures.keySet();
    }

    private static boolean isNotified(Map<String, LogAppender> followers, String node, Departure departure) {
        return !followers.containsKey(node) || followers.get(node).matchIndex >= departure.confirmedIndex();
    }

    void clear() {
        departures.clear();
    }
}

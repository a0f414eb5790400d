package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Members removed by a committed change, to which the leader keeps sending until they have been notified of the
 * removal.
 */
final class DepartingMembers {
    private record Departure(long confirmedIndex, Duration since) {}

    private final Map<String, Departure> departures = new TreeMap<>();

    /** Adds the followers that do not stay; the entry at the given index notifies them of their removal. */
    void addAllExcept(Set<String> staying, Set<String> followers, long confirmedIndex, Duration now) {
        followers.stream()
                .filter(node -> !staying.contains(node))
                .forEach(node -> departures.put(node, new Departure(confirmedIndex, now)));
    }

    /**
     * The members that were removed after the given time and have not synced the notifying entry; all others are
     * dropped.
     */
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

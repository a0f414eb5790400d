package org.woadvale.controlplane.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.runtime.Clock;

/**
 * What control machines have announced to the leader of partition c0: that they run, or that they are about to stop.
 */
final class Announcements {
    /** An announcement counts for so long; it is repeated with each tick while it matters. */
    private static final Duration VALID_FOR = Duration.ofSeconds(1);

    private record Announcement(String zone, Duration receivedAt) {}

    private final Clock clock;
    // no lock: two decisions made at once carry the same epoch, and one of them is accepted
    private final Map<String, Announcement> running = new ConcurrentHashMap<>();
    private final Map<String, Duration> leaving = new ConcurrentHashMap<>();

    Announcements(Clock clock) {
        this.clock = clock;
    }

    void onRunning(String node, String zone) {
        running.put(node, new Announcement(zone, clock.monotonicTime()));
        leaving.remove(node);
    }

    void onLeaving(String node) {
        leaving.put(node, clock.monotonicTime());
    }

    boolean isLeaving(String node) {
        return Optional.ofNullable(leaving.get(node)).filter(this::isRecent).isPresent();
    }

    private boolean isRecent(Duration at) {
        return !at.isZero() && clock.monotonicTime().minus(at).compareTo(VALID_FOR) < 0;
    }

    /** A machine that runs and is no member, by preference in a zone that no remaining member is in. */
    Optional<String> findStandby(CoreMembers present, String leaver) {
        Set<String> takenZones = new TreeSet<>();
        present.members().stream()
                .filter(member -> !member.equals(leaver) && running.containsKey(member))
                .forEach(member -> takenZones.add(running.get(member).zone()));
        return running.entrySet().stream()
                .filter(machine -> !present.members().contains(machine.getKey()) && !isLeaving(machine.getKey()))
                .filter(machine -> isRecent(machine.getValue().receivedAt()))
                .min(Comparator.<Map.Entry<String, Announcement>, Boolean>comparing(machine ->
                                takenZones.contains(machine.getValue().zone()))
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
    }
}

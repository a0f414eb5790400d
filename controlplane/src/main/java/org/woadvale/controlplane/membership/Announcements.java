package org.woadvale.controlplane.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.FaultTolerance;
import org.woadvale.common.runtime.Clock;

/**
 * What control machines have announced to the leader of partition c0: that they run, or that they are about to stop.
 */
final class Announcements {
    /** An announcement counts for so long; it is repeated with each tick while it matters. */
    private static final Duration VALID_FOR = Duration.ofSeconds(1);

    private record Announcement(String zone, Duration receivedAt) {}

    private final Clock clock;
    private final FaultTolerance faultTolerance;
    // no lock: two decisions made at once carry the same epoch, and one of them is accepted
    private final Map<String, Announcement> running = new ConcurrentHashMap<>();
    private final Map<String, Duration> leaving = new ConcurrentHashMap<>();

    Announcements(Clock clock, FaultTolerance faultTolerance) {
        this.clock = clock;
        this.faultTolerance = faultTolerance;
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

    /** A machine that runs and is no member, by preference in a zone with few of the members that stay. */
    Optional<String> findStandby(CoreMembers present, String leaver) {
        return findStandby(
                present,
                present.members().stream()
                        .filter(member -> !member.equals(leaver))
                        .toList());
    }

    /** A machine that runs and is no member, by preference in a zone with few of the members. */
    Optional<String> findStandby(CoreMembers present) {
        return findStandby(present, present.members());
    }

    private Optional<String> findStandby(CoreMembers present, List<String> staying) {
        List<String> zones = staying.stream()
                .filter(running::containsKey)
                .map(member -> running.get(member).zone())
                .toList();
        Comparator<Map.Entry<String, Announcement>> byZone =
                Comparator.comparing(machine -> machine.getValue().zone(), faultTolerance.byLeastUsedZone(zones));
        return standbys(present).min(byZone.thenComparing(Map.Entry::getKey)).map(Map.Entry::getKey);
    }

    /** How many machines run and are no members. */
    int countStandbys(CoreMembers present) {
        return (int) standbys(present).count();
    }

    private Stream<Map.Entry<String, Announcement>> standbys(CoreMembers present) {
        return running.entrySet().stream()
                .filter(machine -> !present.members().contains(machine.getKey()) && !isLeaving(machine.getKey()))
                .filter(machine -> isRecent(machine.getValue().receivedAt()));
    }
}

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
 * The announcements that the leader of partition c0 has received from control machines: that they are running, or that
 * they are about to stop.
 */
final class Announcements {
    /** How long an announcement is valid; it is repeated with every tick while it is needed. */
    private static final Duration VALID_FOR = Duration.ofSeconds(1);

    private record Announcement(String zone, Duration receivedAt) {}

    private final Clock clock;
    private final FaultTolerance faultTolerance;
    // no lock is needed: of two concurrent decisions with the same epoch only one is accepted
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

    /** Finds a running machine that is not a member, preferably in a zone with few of the remaining members. */
    Optional<String> findStandby(CoreMembers current, String leaver) {
        return findStandby(
                current,
                current.members().stream()
                        .filter(member -> !member.equals(leaver))
                        .toList());
    }

    /** Finds a running machine that is not a member, preferably in a zone with few members. */
    Optional<String> findStandby(CoreMembers current) {
        return findStandby(current, current.members());
    }

    private Optional<String> findStandby(CoreMembers current, List<String> remaining) {
        List<String> zones = remaining.stream()
                .filter(running::containsKey)
                .map(member -> running.get(member).zone())
                .toList();
        Comparator<Map.Entry<String, Announcement>> byZone =
                Comparator.comparing(machine -> machine.getValue().zone(), faultTolerance.byLeastUsedZone(zones));
        return standbys(current).min(byZone.thenComparing(Map.Entry::getKey)).map(Map.Entry::getKey);
    }

    /** The number of running machines that are not members. */
    int countStandbys(CoreMembers current) {
        return (int) standbys(current).count();
    }

    private Stream<Map.Entry<String, Announcement>> standbys(CoreMembers current) {
        return running.entrySet().stream()
                .filter(machine -> !current.members().contains(machine.getKey()) && !isLeaving(machine.getKey()))
                .filter(machine -> isRecent(machine.getValue().receivedAt()));
    }
}

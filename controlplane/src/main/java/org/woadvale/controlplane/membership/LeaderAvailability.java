package org.woadvale.controlplane.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.replication.Replica;

/** Tracks when each control partition last had a known leader. Thread-safe. */
public final class LeaderAvailability {
    /** A transfer of leadership leaves a partition briefly without a leader. */
    private static final Duration TRANSFER_GRACE = Duration.ofSeconds(1);

    private final Map<String, Duration> lastSeen = new ConcurrentHashMap<>();

    /** Records the partition as having a leader at {@code now} (monotonic time) if its replica knows one. */
    public void observe(String partition, Replica<ControlCommand, ControlResult> replica, Duration now) {
        replica.leaderId().ifPresent(leader -> lastSeen.put(partition, now));
    }

    /** Whether each of the partitions had a leader within the grace period before {@code now}. */
    public boolean allRecent(Collection<String> partitions, Duration now) {
        Duration oldest = now.minus(TRANSFER_GRACE);
        return partitions.stream().allMatch(partition -> seenAfter(partition, oldest));
    }

    private boolean seenAfter(String partition, Duration oldest) {
        return Optional.ofNullable(lastSeen.get(partition))
                .filter(seen -> seen.compareTo(oldest) > 0)
                .isPresent();
    }
}

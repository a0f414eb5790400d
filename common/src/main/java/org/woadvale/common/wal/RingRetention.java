package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which segments of the ring are still needed, and which partitions were asked for a new snapshot to free them. */
final class RingRetention {
    /** So many segments later a partition is asked again. */
    private static final long REQUEST_INTERVAL_BYTES = 1;

    /** Segment of the oldest record still needed by each partition. */
    private final Map<String, Long> oldestByPartition;
    /** In which segment a partition was asked for a snapshot that has not been written yet. */
    private final Map<String, Long> requestedAt;

    RingRetention(Map<String, Long> oldestByPart) {
        this(oldestByPart, Map.of());
    }

    private RingRetention(Map<String, Long> oldestByPart, Map<String, Long> askedAt) {
        this.oldestByPartition = new HashMap<>(oldestByPart);
        this.requestedAt = new HashMap<>(askedAt);
    }

    RingRetention copy() {
        return new RingRetention(oldestByPartition, requestedAt);
    }

    void written(WalRecord entry, long segment) {
        if (entry.kind() == WalRecord.Kind.SNAPSHOT) {
            oldestByPartition.put(entry.partition(), segment);
            requestedAt.remove(entry.partition());
        } else {
            oldestByPartition.putIfAbsent(entry.partition(), segment);
        }
    }

    /** The oldest segment that is needed; the given one, which is being written, if no other is. */
    long oldest(long segment) {
        return oldestByPartition.values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(segment);
    }

    /** Parts that hold back the oldest segments and have no snapshot under way: another would only fill the ring. */
    List<String> partitionsToSnapshot(long segment) {
        long oldest = oldest(segment);
        List<String> holding = new ArrayList<>();
        oldestByPartition.forEach((partition, since) -> {
            boolean underWay =
                    segment <= requestedAt.getOrDefault(partition, -REQUEST_INTERVAL_BYTES) + REQUEST_INTERVAL_BYTES;
            if (since <= oldest + 1 && !underWay) {
                holding.add(partition);
            }
        });
        holding.forEach(partition -> requestedAt.put(partition, segment));
        return holding;
    }
}

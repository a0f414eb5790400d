package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which segments of the ring are still needed and by whom, and which partitions were asked for a new snapshot to free
 * them.
 */
final class RingRetention {
    /** So many segments later a partition is asked again. */
    private static final long REQUEST_INTERVAL_SEGMENTS = 1;

    /** Segment of the oldest record still needed by each partition. */
    private final Map<String, Long> oldestByPartition;
    /** Bytes of the records that each partition still needs: its next snapshot replaces them all. */
    private final Map<String, Long> bytesByPartition;
    /** In which segment a partition was asked for a snapshot that has not been written yet. */
    private final Map<String, Long> requestedAt;

    RingRetention(Map<String, Long> oldestByPartition, Map<String, Long> bytesByPartition) {
        this(oldestByPartition, bytesByPartition, Map.of());
    }

    private RingRetention(
            Map<String, Long> oldestByPartition, Map<String, Long> bytesByPartition, Map<String, Long> requestedAt) {
        this.oldestByPartition = new HashMap<>(oldestByPartition);
        this.bytesByPartition = new HashMap<>(bytesByPartition);
        this.requestedAt = new HashMap<>(requestedAt);
    }

    RingRetention copy() {
        return new RingRetention(oldestByPartition, bytesByPartition, requestedAt);
    }

    void written(WalRecord entry, long segment) {
        long size = RecordFormat.size(entry);
        if (entry.kind() == WalRecord.Kind.SNAPSHOT) {
            oldestByPartition.put(entry.partition(), segment);
            bytesByPartition.put(entry.partition(), size);
            requestedAt.remove(entry.partition());
        } else {
            oldestByPartition.putIfAbsent(entry.partition(), segment);
            bytesByPartition.merge(entry.partition(), size, Long::sum);
        }
    }

    /** The oldest segment that is needed; the given one, which is being written, if no other is. */
    long oldest(long segment) {
        return oldestByPartition.values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(segment);
    }

    /** Whether the partition needs a record in the oldest segment: its snapshot helps to free that. */
    boolean holdsOldest(String partition, long segment) {
        return oldestByPartition.getOrDefault(partition, Long.MAX_VALUE) == oldest(segment);
    }

    /**
     * What each partition holds.
     *
     * @param expectedBytes the sizes of next snapshots that are known; what is not known is taken to be as large as the
     *     records that it replaces
     */
    List<RingReserve.Holding> holdings(Map<String, Long> expectedBytes, int largestRecord) {
        List<RingReserve.Holding> holdings = new ArrayList<>();
        oldestByPartition.forEach((partition, oldest) -> {
            long bytes = expectedBytes.getOrDefault(partition, bytesByPartition.getOrDefault(partition, 0L));
            holdings.add(new RingReserve.Holding(oldest, (int) Math.min(bytes, largestRecord)));
        });
        return holdings;
    }

    /** Parts that hold back the oldest segments and have no snapshot under way: another would only fill the ring. */
    List<String> partitionsToSnapshot(long segment) {
        long oldest = oldest(segment);
        List<String> holding = new ArrayList<>();
        oldestByPartition.forEach((partition, since) -> {
            boolean underWay = segment
                    <= requestedAt.getOrDefault(partition, -REQUEST_INTERVAL_SEGMENTS) + REQUEST_INTERVAL_SEGMENTS;
            if (since <= oldest + 1 && !underWay) {
                holding.add(partition);
            }
        });
        holding.forEach(partition -> requestedAt.put(partition, segment));
        return holding;
    }
}

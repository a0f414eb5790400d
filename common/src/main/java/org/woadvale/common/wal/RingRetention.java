package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which segments of the ring each partition still needs, and which partitions were asked for a new snapshot to
 * free them.
 */
final class RingRetention {
    /** Number of segments after which a partition is asked again. */
    private static final long REQUEST_INTERVAL_SEGMENTS = 1;

    /** Segment of the oldest record still needed by each partition. */
    private final Map<String, Long> oldestByPartition;
    /** Bytes of the records that each partition still needs; its next snapshot replaces them all. */
    private final Map<String, Long> bytesByPartition;
    /** The segment in which a partition was asked for a snapshot that has not been written yet. */
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

    void recordWritten(WalRecord walRecord, long segment) {
        long size = RecordFormat.size(walRecord);
        if (walRecord.kind() == WalRecord.Kind.SNAPSHOT) {
            oldestByPartition.put(walRecord.partition(), segment);
            bytesByPartition.put(walRecord.partition(), size);
            requestedAt.remove(walRecord.partition());
        } else {
            oldestByPartition.putIfAbsent(walRecord.partition(), segment);
            bytesByPartition.merge(walRecord.partition(), size, Long::sum);
        }
    }

    /** The oldest segment that is needed, or the given one, which is being written, if there is no other. */
    long oldestNeeded(long segment) {
        return oldestByPartition.values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(segment);
    }

    /** Whether the partition needs a record in the oldest segment, so that its snapshot helps to free that segment. */
    boolean retainsOldest(String partition, long segment) {
        return oldestByPartition.getOrDefault(partition, Long.MAX_VALUE) == oldestNeeded(segment);
    }

    /**
     * Returns the space that each partition uses.
     *
     * @param expectedBytes the known sizes of next snapshots; a partition without one is assumed to need as many
     *     bytes as the records that its snapshot replaces
     */
    List<RingReserve.PartitionUsage> usages(Map<String, Long> expectedBytes, int largestRecord) {
        List<RingReserve.PartitionUsage> usages = new ArrayList<>();
        oldestByPartition.forEach((partition, oldest) -> {
            long bytes = expectedBytes.getOrDefault(partition, bytesByPartition.getOrDefault(partition, 0L));
            usages.add(new RingReserve.PartitionUsage(oldest, (int) Math.min(bytes, largestRecord)));
        });
        return usages;
    }

    /**
     * Partitions that need records in the two oldest segments and have no snapshot in progress; a second snapshot would
     * only fill the ring. The returned partitions are recorded as asked.
     */
    List<String> partitionsToSnapshot(long segment) {
        long oldest = oldestNeeded(segment);
        List<String> partitions = new ArrayList<>();
        oldestByPartition.forEach((partition, oldestSegment) -> {
            boolean snapshotInProgress = segment
                    <= requestedAt.getOrDefault(partition, -REQUEST_INTERVAL_SEGMENTS) + REQUEST_INTERVAL_SEGMENTS;
            if (oldestSegment <= oldest + 1 && !snapshotInProgress) {
                partitions.add(partition);
            }
        });
        partitions.forEach(partition -> requestedAt.put(partition, segment));
        return partitions;
    }
}

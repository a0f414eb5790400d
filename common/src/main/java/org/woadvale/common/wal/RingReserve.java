package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Computes how many files of a ring must stay free, so that there is always space for the snapshots that free its
 * oldest files.
 */
final class RingReserve {
    /**
     * Space of the ring that one partition uses.
     *
     * @param oldestSegment the segment of the oldest record that it needs
     * @param snapshotBytes maximum size of its next snapshot, which frees all its earlier records
     */
    record PartitionUsage(long oldestSegment, int snapshotBytes) {}

    private RingReserve() {}

    /**
     * Returns the number of free files needed to write a snapshot of every partition, those with the oldest segments
     * first; a segment that is freed in the process can be reused. A snapshot is never split between files, and other
     * records may be written between the snapshots that free one segment and those that free the next, so these share
     * no file.
     */
    static int requiredFreeFiles(Collection<PartitionUsage> usages, int fileSize) {
        TreeMap<Long, List<PartitionUsage>> bySegment = new TreeMap<>();
        usages.forEach(usage -> bySegment
                .computeIfAbsent(usage.oldestSegment(), segment -> new ArrayList<>())
                .add(usage));
        long needed = 0;
        long written = 0;
        for (Map.Entry<Long, List<PartitionUsage>> segment : bySegment.entrySet()) {
            written += filesForSnapshots(segment.getValue(), fileSize);
            long freed = segment.getKey() - bySegment.firstKey();
            needed = Math.max(needed, written - freed);
        }
        return (int) needed;
    }

    /** Returns the number of files that the next snapshots of all partitions take when written one after the other. */
    static int filesForSnapshots(Collection<PartitionUsage> usages, int fileSize) {
        int files = 0;
        long position = fileSize;
        for (PartitionUsage usage : usages) {
            if (position + usage.snapshotBytes() > fileSize) {
                files++;
                position = 0;
            }
            position += usage.snapshotBytes();
        }
        return files;
    }
}

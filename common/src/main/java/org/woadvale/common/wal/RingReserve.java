package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many files of a ring must stay free, so that there is always room for the snapshots that free its oldest files.
 */
final class RingReserve {
    /**
     * What one partition holds in the ring.
     *
     * @param oldestSegment the segment of the oldest record that it needs
     * @param snapshotBytes the most bytes that its next snapshot takes, by which all its earlier records are freed
     */
    record Holding(long oldestSegment, int snapshotBytes) {}

    private RingReserve() {}

    /**
     * The free files that are needed to write a snapshot of every partition, those that hold the oldest segments first:
     * a segment that is freed on the way may be written again. No snapshot is divided between files, and other records
     * may come between the snapshots of two segments, so these share no file.
     */
    static int files(Collection<Holding> holdings, int fileSize) {
        TreeMap<Long, List<Holding>> bySegment = new TreeMap<>();
        holdings.forEach(holding -> bySegment
                .computeIfAbsent(holding.oldestSegment(), segment -> new ArrayList<>())
                .add(holding));
        long needed = 0;
        long written = 0;
        for (Map.Entry<Long, List<Holding>> segment : bySegment.entrySet()) {
            written += filesOf(segment.getValue(), fileSize);
            long freed = segment.getKey() - bySegment.firstKey();
            needed = Math.max(needed, written - freed);
        }
        return (int) needed;
    }

    /** The files that the next snapshots of all partitions take, one after the other. */
    static int filesOf(Collection<Holding> holdings, int fileSize) {
        int files = 0;
        long position = fileSize;
        for (Holding holding : holdings) {
            if (position + holding.snapshotBytes() > fileSize) {
                files++;
                position = 0;
            }
            position += holding.snapshotBytes();
        }
        return files;
    }
}

package org.woadvale.common.wal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Recovers the records of a ring, reading its files in chunks. A torn tail is discarded; damage before the tail makes
 * the whole folder invalid (docs/design.md, section 4.3).
 */
final class Recovery {
    /** The folder cannot be trusted; its partitions must be treated as lost. */
    static final class DamagedLogException extends Exception {
        private static final long serialVersionUID = 1L;

        DamagedLogException(String reason) {
            super(reason, null, false, false);
        }
    }

    final Map<String, List<WalRecord>> recordsByPartition = new LinkedHashMap<>();
    /** Segment of the oldest record still needed by each partition. */
    final Map<String, Long> oldestNeeded = new LinkedHashMap<>();
    /** Bytes of the records still needed by each partition. */
    final Map<String, Long> bytesNeeded = new LinkedHashMap<>();

    long segment;
    int position;
    long lastBatch;
    private boolean oldestSegmentIncomplete;

    static Recovery run(List<Disk.DiskFile> files)
            throws DamagedLogException, RecordFormat.NewerFormatException, IOException {
        Recovery recovery = new Recovery();
        long newest = -1;
        long oldest = Long.MAX_VALUE;
        int fileCount = files.size();
        for (int i = 0; i < fileCount; i++) {
            Optional<RecordFormat.DecodedRecord> first = RecordFormat.read(new ReadWindow(files.get(i)), 0);
            if (first.isPresent()) {
                long segment = first.get().segment();
                if (segment % fileCount != i) {
                    throw new DamagedLogException("file " + i + " holds segment " + segment);
                }
                newest = Math.max(newest, segment);
                oldest = Math.min(oldest, segment);
            }
        }
        if (newest < 0) {
            for (int i = 1; i < fileCount; i++) {
                checkUnused(new ReadWindow(files.get(i)), i);
            }
            recovery.checkTail(new ReadWindow(files.get(0)), 0, 0);
            return recovery;
        }
        boolean wrapped = newest - oldest + 1 == fileCount;
        for (long segment = oldest; segment <= newest; segment++) {
            recovery.readSegment(
                    new ReadWindow(files.get((int) (segment % fileCount))),
                    segment,
                    segment == newest,
                    wrapped && segment == oldest);
        }
        boolean newestIsComplete = recovery.segment == newest + 1;
        recovery.checkOldest(oldest, Math.max(0, newest - fileCount + 1), newestIsComplete && newest + 1 >= fileCount);
        if (!wrapped || newestIsComplete) {
            recovery.checkTail(new ReadWindow(files.get((int) ((newest + 1) % fileCount))), newest + 1, 0);
        }
        return recovery;
    }

    /**
     * Every segment that the ring can hold must be complete, except for the oldest one while the next segment is being
     * written over it.
     */
    private void checkOldest(long oldest, long expected, boolean beingOverwritten) throws DamagedLogException {
        boolean missing = oldestSegmentIncomplete || oldest > expected;
        if (!missing) {
            return;
        }
        if (!beingOverwritten || oldest > expected + 1) {
            throw new DamagedLogException("segment " + expected + " is missing or incomplete");
        }
        for (List<WalRecord> partition : recordsByPartition.values()) {
            if (partition.get(0).kind() != WalRecord.Kind.SNAPSHOT) {
                throw new DamagedLogException("segment " + expected + " is missing or incomplete and still needed by "
                        + partition.get(0).partition());
            }
        }
    }

    private static void checkUnused(ReadWindow file, int i) throws DamagedLogException, IOException {
        if (!file.isZero(0, file.size())) {
            throw new DamagedLogException("file " + i + " is not empty but has no valid record");
        }
    }

    /**
     * The oldest segment of a wrapped ring may be partly overwritten by the first batch of the next segment, which is
     * written only once nothing in the oldest segment is needed.
     */
    private void readSegment(ReadWindow file, long segmentNumber, boolean isNewest, boolean mayBeOverwritten)
            throws DamagedLogException, RecordFormat.NewerFormatException, IOException {
        int offset = 0;
        while (true) {
            Optional<RecordFormat.DecodedRecord> decoded = RecordFormat.read(file, offset);
            if (decoded.isEmpty() || decoded.get().segment() != segmentNumber) {
                if (mayBeOverwritten) {
                    oldestSegmentIncomplete = true;
                    recordsByPartition.clear();
                    oldestNeeded.clear();
                    bytesNeeded.clear();
                    return;
                }
                if (!isNewest) {
                    throw new DamagedLogException("segment " + segmentNumber + " is incomplete at offset " + offset);
                }
                checkTail(file, segmentNumber, offset);
                segment = segmentNumber;
                position = offset;
                return;
            }
            lastBatch = decoded.get().batch();
            offset = decoded.get().nextPosition();
            if (decoded.get().endsSegment()) {
                if (isNewest) {
                    segment = segmentNumber + 1;
                    position = 0;
                }
                return;
            }
            addRecord(decoded.get().record().orElseThrow(), segmentNumber);
        }
    }

    private void addRecord(WalRecord record, long segment) {
        if (record.kind() == WalRecord.Kind.SNAPSHOT) {
            recordsByPartition.put(record.partition(), new ArrayList<>());
            oldestNeeded.put(record.partition(), segment);
            bytesNeeded.remove(record.partition());
        }
        recordsByPartition
                .computeIfAbsent(record.partition(), key -> new ArrayList<>())
                .add(record);
        oldestNeeded.putIfAbsent(record.partition(), segment);
        bytesNeeded.merge(record.partition(), (long) RecordFormat.size(record), Long::sum);
    }

    /**
     * A valid record behind the torn position that belongs to a later batch than the torn one proves that synced bytes
     * were lost.
     */
    private void checkTail(ReadWindow file, long segment, int tornOffset)
            throws DamagedLogException, RecordFormat.NewerFormatException, IOException {
        for (int offset = tornOffset;
                offset + RecordFormat.HEADER_BYTES + RecordFormat.PREFIX_BYTES <= file.size();
                offset++) {
            if (file.byteAt(offset + RecordFormat.HEADER_BYTES) < 1
                    || file.read(offset + RecordFormat.HEADER_BYTES + 1, Long.BYTES)
                                    .getLong()
                            != segment) {
                continue;
            }
            Optional<RecordFormat.DecodedRecord> decoded = RecordFormat.read(file, offset);
            if (decoded.isPresent() && decoded.get().batch() > lastBatch + 1) {
                throw new DamagedLogException(
                        "segment " + segment + " is damaged at offset " + tornOffset + ", before synced records");
            }
        }
    }
}

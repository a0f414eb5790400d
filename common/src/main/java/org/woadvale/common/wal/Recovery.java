package org.woadvale.common.wal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads a ring back, piece by piece. Torn tails are cut; damage before the tail condemns the folder (docs/design.md,
 * section 4.3).
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
    int pos;
    long batch;
    private boolean oldestBreaksOff;

    static Recovery run(List<Disk.DiskFile> files)
            throws DamagedLogException, RecordFormat.NewerFormatException, IOException {
        Recovery recovery = new Recovery();
        long newest = -1;
        long oldest = Long.MAX_VALUE;
        int index = files.size();
        for (int i = 0; i < index; i++) {
            Optional<RecordFormat.DecodedRecord> first = RecordFormat.read(new ReadWindow(files.get(i)), 0);
            if (first.isPresent()) {
                long segment = first.get().segment();
                if (segment % index != i) {
                    throw new DamagedLogException("file " + i + " holds segment " + segment);
                }
                newest = Math.max(newest, segment);
                oldest = Math.min(oldest, segment);
            }
        }
        if (newest < 0) {
            for (int i = 1; i < index; i++) {
                mustBeUnused(new ReadWindow(files.get(i)), i);
            }
            recovery.checkTail(new ReadWindow(files.get(0)), 0, 0);
            return recovery;
        }
        boolean wrapped = newest - oldest + 1 == index;
        for (long segment = oldest; segment <= newest; segment++) {
            recovery.segment(
                    new ReadWindow(files.get((int) (segment % index))),
                    segment,
                    segment == newest,
                    wrapped && segment == oldest);
        }
        boolean rolled = recovery.segment == newest + 1;
        recovery.checkOldest(oldest, Math.max(0, newest - index + 1), rolled && newest + 1 >= index);
        if (!wrapped || rolled) {
            recovery.checkTail(new ReadWindow(files.get((int) ((newest + 1) % index))), newest + 1, 0);
        }
        return recovery;
    }

    /** All segments that the ring can hold must be there, but for the oldest while the next one is written over it. */
    private void checkOldest(long oldest, long expected, boolean writtenOver) throws DamagedLogException {
        boolean missing = oldestBreaksOff || oldest > expected;
        if (!missing) {
            return;
        }
        if (!writtenOver || oldest > expected + 1) {
            throw new DamagedLogException("segment " + expected + " is missing or breaks off");
        }
        for (List<WalRecord> partition : recordsByPartition.values()) {
            if (partition.get(0).kind() != WalRecord.Kind.SNAPSHOT) {
                throw new DamagedLogException("segment " + expected + " was still needed by "
                        + partition.get(0).partition());
            }
        }
    }

    private static void mustBeUnused(ReadWindow file, int i) throws DamagedLogException, IOException {
        if (!file.zero(0, file.size())) {
            throw new DamagedLogException("file " + i + " is unreadable");
        }
    }

    /**
     * The oldest segment of a ring that has wrapped may be half written over by the first batch of the next segment:
     * that begins only once nothing in the oldest one is needed.
     */
    private void segment(ReadWindow file, long s, boolean last, boolean mayBeWrittenOver)
            throws DamagedLogException, RecordFormat.NewerFormatException, IOException {
        int at = 0;
        while (true) {
            Optional<RecordFormat.DecodedRecord> decoded = RecordFormat.read(file, at);
            if (decoded.isEmpty() || decoded.get().segment() != s) {
                if (mayBeWrittenOver) {
                    oldestBreaksOff = true;
                    recordsByPartition.clear();
                    oldestNeeded.clear();
                    bytesNeeded.clear();
                    return;
                }
                if (!last) {
                    throw new DamagedLogException("segment " + s + " breaks off at " + at);
                }
                checkTail(file, s, at);
                segment = s;
                pos = at;
                return;
            }
            batch = decoded.get().batch();
            at = decoded.get().next();
            if (decoded.get().endsSegment()) {
                if (last) {
                    segment = s + 1;
                    pos = 0;
                }
                return;
            }
            accept(decoded.get().record().orElseThrow(), s);
        }
    }

    private void accept(WalRecord record, long segment) {
        if (record.kind() == WalRecord.Kind.SNAPSHOT) {
            recordsByPartition.put(record.partition(), new ArrayList<>());
            oldestNeeded.put(record.partition(), segment);
            bytesNeeded.remove(record.partition());
        }
        recordsByPartition
                .computeIfAbsent(record.partition(), p -> new ArrayList<>())
                .add(record);
        oldestNeeded.putIfAbsent(record.partition(), segment);
        bytesNeeded.merge(record.partition(), (long) RecordFormat.size(record), Long::sum);
    }

    /** A sound record of a later batch beyond the break proves that synced bytes were lost. */
    private void checkTail(ReadWindow file, long segment, int from)
            throws DamagedLogException, RecordFormat.NewerFormatException, IOException {
        for (int at = from; at + RecordFormat.HEADER_BYTES + RecordFormat.PREFIX_BYTES <= file.size(); at++) {
            if (file.at(at + RecordFormat.HEADER_BYTES) < 1
                    || file.look(at + RecordFormat.HEADER_BYTES + 1, Long.BYTES).getLong() != segment) {
                continue;
            }
            Optional<RecordFormat.DecodedRecord> decoded = RecordFormat.read(file, at);
            if (decoded.isPresent() && decoded.get().batch() > batch + 1) {
                throw new DamagedLogException(
                        "segment " + segment + " is damaged at " + from + ", before synced records");
            }
        }
    }
}

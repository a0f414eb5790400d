package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.List;

/** Queue of the records that are still to be written to disk. */
final class PendingWrites {
    /** Records that were appended together, and the callback that runs once they are synced. */
    record PendingAppend(List<WalRecord> records, Runnable onSynced) {
        /** Bytes of the log entries; snapshots are not counted, since each replaces the one before it. */
        long entryBytes() {
            return records.stream()
                    .filter(record -> record.kind() == WalRecord.Kind.ENTRY)
                    .mapToLong(record -> record.bytes().length)
                    .sum();
        }

        /** Whether this append consists of a single snapshot. */
        boolean isSnapshot() {
            return records.size() == 1 && records.get(0).kind() == WalRecord.Kind.SNAPSHOT;
        }

        boolean belongsOnlyTo(String partition) {
            return records.stream().allMatch(record -> record.partition().equals(partition));
        }
    }

    private final List<PendingAppend> appends = new ArrayList<>();
    private long entryBytes;

    /**
     * Adds an append at the end of the queue. A snapshot replaces all earlier records of its partition: queued appends
     * of that partition alone are never written, and their callbacks run once the snapshot is synced.
     */
    void add(PendingAppend append) {
        PendingAppend added = append.isSnapshot() ? replaceEarlier(append) : append;
        appends.add(added);
        entryBytes += added.entryBytes();
    }

    private PendingAppend replaceEarlier(PendingAppend snapshot) {
        String partition = snapshot.records().get(0).partition();
        List<PendingAppend> replaced = appends.stream()
                .filter(append -> append.belongsOnlyTo(partition))
                .toList();
        if (replaced.isEmpty()) {
            return snapshot;
        }
        appends.removeIf(append -> append.belongsOnlyTo(partition));
        entryBytes -= replaced.stream().mapToLong(PendingAppend::entryBytes).sum();
        return new PendingAppend(snapshot.records(), () -> {
            replaced.forEach(append -> append.onSynced().run());
            snapshot.onSynced().run();
        });
    }

    List<PendingAppend> drain() {
        List<PendingAppend> drained = List.copyOf(appends);
        appends.clear();
        entryBytes = 0;
        return drained;
    }

    /** Puts drained appends that could not be written back before those that were added since. */
    void requeue(List<PendingAppend> drained) {
        List<PendingAppend> newer = drain();
        drained.forEach(this::add);
        newer.forEach(this::add);
    }

    boolean isEmpty() {
        return appends.isEmpty();
    }

    long entryBytes() {
        return entryBytes;
    }
}

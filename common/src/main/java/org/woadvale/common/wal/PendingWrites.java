package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.List;

/** Records that wait for the disk, in their order. */
final class PendingWrites {
    /** Records that were appended together, and what runs once they are synced. */
    record PendingAppend(List<WalRecord> entries, Runnable done) {
        /** Bytes of the log entries; snapshots are not counted, since each replaces the one before it. */
        long entryBytes() {
            return entries.stream()
                    .filter(record -> record.kind() == WalRecord.Kind.ENTRY)
                    .mapToLong(record -> record.bytes().length)
                    .sum();
        }

        /** Whether this is a snapshot and nothing else. */
        boolean isSnapshot() {
            return entries.size() == 1 && entries.get(0).kind() == WalRecord.Kind.SNAPSHOT;
        }

        boolean isOnlyOf(String partition) {
            return entries.stream().allMatch(record -> record.partition().equals(partition));
        }
    }

    private final List<PendingAppend> groups = new ArrayList<>();
    private long entryBytes;

    /**
     * Adds records behind all others. A snapshot stands for all earlier records of its partition: what still waits of
     * them is never written, and is done once the snapshot is synced.
     */
    void add(PendingAppend group) {
        PendingAppend added = group.isSnapshot() ? replacing(group) : group;
        groups.add(added);
        entryBytes += added.entryBytes();
    }

    private PendingAppend replacing(PendingAppend snapshot) {
        String partition = snapshot.entries().get(0).partition();
        List<PendingAppend> replaced =
                groups.stream().filter(group -> group.isOnlyOf(partition)).toList();
        if (replaced.isEmpty()) {
            return snapshot;
        }
        groups.removeIf(group -> group.isOnlyOf(partition));
        entryBytes -= replaced.stream().mapToLong(PendingAppend::entryBytes).sum();
        return new PendingAppend(snapshot.entries(), () -> {
            replaced.forEach(group -> group.done().run());
            snapshot.done().run();
        });
    }

    List<PendingAppend> takeAll() {
        List<PendingAppend> taken = List.copyOf(groups);
        groups.clear();
        entryBytes = 0;
        return taken;
    }

    /** Records that were taken and could not be written wait before those that came since. */
    void putBack(List<PendingAppend> taken) {
        List<PendingAppend> since = takeAll();
        taken.forEach(this::add);
        since.forEach(this::add);
    }

    boolean isEmpty() {
        return groups.isEmpty();
    }

    long entryBytes() {
        return entryBytes;
    }
}

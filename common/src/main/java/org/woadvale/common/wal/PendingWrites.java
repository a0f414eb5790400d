package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

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
    }

    private List<PendingAppend> groups = new ArrayList<>();
    private long entryBytes;

    void add(PendingAppend group) {
        if (!groups.isEmpty()) {
            dropReplaced(group);
        }
        groups.add(group);
        entryBytes += group.entryBytes();
    }

    /** A snapshot stands for all earlier records of its partition: what still waits of them is never written. */
    private void dropReplaced(PendingAppend group) {
        Set<String> replaced = new HashSet<>();
        group.entries().stream()
                .filter(record -> record.kind() == WalRecord.Kind.SNAPSHOT)
                .forEach(record -> replaced.add(record.partition()));
        if (replaced.isEmpty()) {
            return;
        }
        groups.replaceAll(pendingAppend -> new PendingAppend(
                pendingAppend.entries().stream()
                        .filter(record -> !replaced.contains(record.partition()))
                        .toList(),
                pendingAppend.done()));
        entryBytes = groups.stream().mapToLong(PendingAppend::entryBytes).sum();
    }

    List<PendingAppend> takeAll() {
        List<PendingAppend> taken = groups;
        groups = new ArrayList<>();
        entryBytes = 0;
        return taken;
    }

    boolean isEmpty() {
        return groups.isEmpty();
    }

    long entryBytes() {
        return entryBytes;
    }
}

package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Records that wait for the disk, in their order. */
final class PendingWrites {
    /** Records that were appended together, and what runs once they are synced. */
    record Group(List<Entry> entries, Runnable done) {
        /** Bytes of the log entries; snapshots are not counted, since each replaces the one before it. */
        long entryBytes() {
            return entries.stream()
                    .filter(e -> e.kind() == Entry.Kind.ENTRY)
                    .mapToLong(e -> e.bytes().length)
                    .sum();
        }
    }

    private List<Group> groups = new ArrayList<>();
    private long entryBytes;

    void add(Group group) {
        if (!groups.isEmpty()) {
            dropReplaced(group);
        }
        groups.add(group);
        entryBytes += group.entryBytes();
    }

    /** A snapshot stands for all earlier records of its part: what still waits of them is never written. */
    private void dropReplaced(Group group) {
        Set<String> replaced = new HashSet<>();
        group.entries().stream().filter(e -> e.kind() == Entry.Kind.BASE).forEach(e -> replaced.add(e.part()));
        if (replaced.isEmpty()) {
            return;
        }
        groups.replaceAll(g -> new Group(
                g.entries().stream().filter(e -> !replaced.contains(e.part())).toList(), g.done()));
        entryBytes = groups.stream().mapToLong(Group::entryBytes).sum();
    }

    List<Group> takeAll() {
        List<Group> taken = groups;
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

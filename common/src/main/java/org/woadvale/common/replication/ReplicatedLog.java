package org.woadvale.common.replication;

import java.util.ArrayList;
import java.util.List;

/** The in-memory log of a partition, from the end of a snapshot on. */
final class ReplicatedLog {
    static final int MAX_BATCH_BYTES = 512 << 10;
    /** Bytes that an entry adds to a request besides its payload. */
    private static final int ENTRY_OVERHEAD_BYTES = 32;

    static final int MIN_BATCH_BYTES = 16 << 10;
    private long baseIndex;
    private long baseTerm;
    private final List<LogEntry> entries = new ArrayList<>();
    private long bytes;
    /**
     * The index up to which the latest snapshot on disk covers the log; followers that are catching up may need entries
     * before it.
     */
    private long compactedIndex;

    private long bytesAfterCompacted;

    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    long bytes() {
        return bytes;
    }

    long compactedIndex() {
        return compactedIndex;
    }

    long bytesAfterCompacted() {
        return bytesAfterCompacted;
    }

    /**
     * Records that a snapshot on disk covers the log up to the index; entries after {@code keptFrom} stay in memory.
     */
    void onCompacted(long index, long keptFrom) {
        discardTo(Math.max(baseIndex, Math.min(index, keptFrom)));
        compactedIndex = index;
        bytesAfterCompacted = bytesAfter(index);
    }

    /** The bytes of the entries after the index. */
    long bytesAfter(long index) {
        return entries.subList((int) (index - baseIndex), entries.size()).stream()
                .mapToLong(entry -> entry.bytes().length)
                .sum();
    }

    boolean contains(long index) {
        return index >= baseIndex && index <= lastIndex();
    }

    long termAt(long index) {
        return index == baseIndex ? baseTerm : get(index).term();
    }

    LogEntry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    void append(LogEntry entry) {
        entries.add(entry);
        bytes += entry.bytes().length;
        bytesAfterCompacted += entry.bytes().length;
    }

    void truncateFrom(long index) {
        while (lastIndex() >= index) {
            int removed = entries.remove(entries.size() - 1).bytes().length;
            bytes -= removed;
            bytesAfterCompacted -= removed;
        }
    }

    private void discardTo(long index) {
        baseTerm = termAt(index);
        int count = (int) (index - baseIndex);
        entries.subList(0, count).forEach(entry -> bytes -= entry.bytes().length);
        entries.subList(0, count).clear();
        baseIndex = index;
    }

    void reset(long index, long term, List<LogEntry> tail) {
        baseIndex = index;
        baseTerm = term;
        entries.clear();
        bytes = 0;
        compactedIndex = index;
        bytesAfterCompacted = 0;
        tail.forEach(this::append);
    }

    /** Entries after the index, at least one if there is any, until their total size reaches the given bytes. */
    List<LogEntry> entriesAfter(long index, int sizeLimit) {
        List<LogEntry> out = new ArrayList<>();
        long size = 0;
        for (long i = index + 1; i <= lastIndex() && size < sizeLimit; i++) {
            out.add(get(i));
            size += get(i).bytes().length + ENTRY_OVERHEAD_BYTES;
        }
        return out;
    }

    List<LogEntry> entries() {
        return List.copyOf(entries);
    }
}

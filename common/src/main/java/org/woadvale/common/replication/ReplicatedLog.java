package org.woadvale.common.replication;

import java.util.ArrayList;
import java.util.List;

/** The log of a partition in memory, from the end of a snapshot on. */
final class ReplicatedLog {
    static final int MAX_BATCH_BYTES = 512 << 10;
    /** What an entry takes in a request beside its bytes. */
    private static final int ENTRY_OVERHEAD_BYTES = 32;

    static final int MIN_BATCH_BYTES = 16 << 10;
    private long baseIndex;
    private long baseTerm;
    private final List<LogEntry> items = new ArrayList<>();
    private long bytes;
    /** What the latest snapshot on disk covers; followers that are catching up may need entries before it. */
    private long compactedIndex;

    private long bytesAfterCompacted;

    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + items.size();
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

    /** A snapshot on disk covers all up to the index; entries from the other index on are kept in memory. */
    void onCompacted(long index, long keptFrom) {
        discardTo(Math.max(baseIndex, Math.min(index, keptFrom)));
        compactedIndex = index;
        bytesAfterCompacted = bytesAfter(index);
    }

    /** The bytes of the entries after the index. */
    long bytesAfter(long index) {
        return items.subList((int) (index - baseIndex), items.size()).stream()
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
        return items.get((int) (index - baseIndex - 1));
    }

    void append(LogEntry item) {
        items.add(item);
        bytes += item.bytes().length;
        bytesAfterCompacted += item.bytes().length;
    }

    void truncateFrom(long index) {
        while (lastIndex() >= index) {
            int removed = items.remove(items.size() - 1).bytes().length;
            bytes -= removed;
            bytesAfterCompacted -= removed;
        }
    }

    private void discardTo(long index) {
        baseTerm = termAt(index);
        int count = (int) (index - baseIndex);
        items.subList(0, count).forEach(entry -> bytes -= entry.bytes().length);
        items.subList(0, count).clear();
        baseIndex = index;
    }

    void reset(long index, long term, List<LogEntry> tail) {
        baseIndex = index;
        baseTerm = term;
        items.clear();
        bytes = 0;
        compactedIndex = index;
        bytesAfterCompacted = 0;
        tail.forEach(this::append);
    }

    /** Entries after the index, at least one if there is any, until they reach so many bytes. */
    List<LogEntry> entriesAfter(long index, int enoughBytes) {
        List<LogEntry> out = new ArrayList<>();
        long size = 0;
        for (long i = index + 1; i <= lastIndex() && size < enoughBytes; i++) {
            out.add(get(i));
            size += get(i).bytes().length + ENTRY_OVERHEAD_BYTES;
        }
        return out;
    }

    List<LogEntry> entries() {
        return List.copyOf(items);
    }
}

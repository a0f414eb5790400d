package org.woadvale.common.replication;

import java.util.ArrayList;
import java.util.List;

/** The log of a part in memory, from its base on. */
final class ReplicatedLog {
    private static final int BATCH_BYTES = 512 << 10;
    private long baseIndex;
    private long baseTerm;
    private final List<LogEntry> items = new ArrayList<>();
    private long bytes;

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

    boolean holds(long index) {
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
    }

    void cutFrom(long index) {
        while (lastIndex() >= index) {
            bytes -= items.remove(items.size() - 1).bytes().length;
        }
    }

    void forgetTo(long index) {
        baseTerm = termAt(index);
        int n = (int) (index - baseIndex);
        items.subList(0, n).forEach(i -> bytes -= i.bytes().length);
        items.subList(0, n).clear();
        baseIndex = index;
    }

    void reset(long index, long term, List<LogEntry> tail) {
        baseIndex = index;
        baseTerm = term;
        items.clear();
        bytes = 0;
        tail.forEach(this::append);
    }

    List<LogEntry> after(long index) {
        List<LogEntry> out = new ArrayList<>();
        long size = 0;
        for (long i = index + 1; i <= lastIndex() && size < BATCH_BYTES; i++) {
            out.add(get(i));
            size += get(i).bytes().length + 32;
        }
        return out;
    }

    List<LogEntry> tail() {
        return List.copyOf(items);
    }
}

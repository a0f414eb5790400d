package org.woadvale.testkit.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.woadvale.common.wal.WalRecord;

/** What a machine's disk holds of the partition, over all lives of the process. */
final class ModelDisk {
    /** Records written together, and what runs once they are synced. */
    record Write(List<WalRecord> entries, Runnable done) {}

    private final List<WalRecord> durable = new ArrayList<>();
    private List<Write> pending = new ArrayList<>();

    List<WalRecord> durable() {
        return List.copyOf(durable);
    }

    /** Empty before the first record was synced. */
    Optional<WalRecord> base() {
        return durable.isEmpty() ? Optional.empty() : Optional.of(durable.get(0));
    }

    List<Write> pending() {
        return List.copyOf(pending);
    }

    boolean hasPending() {
        return !pending.isEmpty();
    }

    void write(List<WalRecord> entries, Runnable done) {
        pending.add(new Write(entries, done));
    }

    /** One sync serves everything that waits, as in the write-ahead log. */
    void sync() {
        List<Write> synced = pending;
        pending = new ArrayList<>();
        synced.forEach(write -> write.entries().forEach(this::store));
        synced.forEach(write -> write.done().run());
    }

    /** The process is gone, the written records stay; nobody waits for their callbacks. */
    void keepWritten() {
        pending.forEach(write -> write.entries().forEach(this::store));
        pending = new ArrayList<>();
    }

    void loseUnsynced() {
        pending = new ArrayList<>();
    }

    void wipe() {
        pending = new ArrayList<>();
        durable.clear();
    }

    /** A base makes the earlier records needless. */
    private void store(WalRecord entry) {
        if (entry.kind() == WalRecord.Kind.SNAPSHOT) {
            durable.clear();
        }
        durable.add(entry);
    }
}

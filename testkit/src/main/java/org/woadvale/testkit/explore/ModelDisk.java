package org.woadvale.testkit.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.woadvale.common.wal.WalRecord;

/** The records of the partition on a machine's disk; it outlives restarts of the process. */
final class ModelDisk {
    /** Records that are written together, and the callback that runs once they are synced. */
    record Write(List<WalRecord> records, Runnable done) {}

    private final List<WalRecord> durable = new ArrayList<>();
    private List<Write> pending = new ArrayList<>();

    List<WalRecord> durable() {
        return List.copyOf(durable);
    }

    /** The first record on the disk; empty until a record was synced. */
    Optional<WalRecord> base() {
        return durable.isEmpty() ? Optional.empty() : Optional.of(durable.get(0));
    }

    List<Write> pending() {
        return List.copyOf(pending);
    }

    boolean hasPending() {
        return !pending.isEmpty();
    }

    void write(List<WalRecord> records, Runnable done) {
        pending.add(new Write(records, done));
    }

    /** One sync covers all pending writes, as in the write-ahead log. */
    void sync() {
        List<Write> synced = pending;
        pending = new ArrayList<>();
        synced.forEach(write -> write.records().forEach(this::store));
        synced.forEach(write -> write.done().run());
    }

    /** The process crashed: written records survive, and their callbacks never run. */
    void keepWritten() {
        pending.forEach(write -> write.records().forEach(this::store));
        pending = new ArrayList<>();
    }

    void loseUnsynced() {
        pending = new ArrayList<>();
    }

    void wipe() {
        pending = new ArrayList<>();
        durable.clear();
    }

    /** A snapshot replaces all earlier records. */
    private void store(WalRecord walRecord) {
        if (walRecord.kind() == WalRecord.Kind.SNAPSHOT) {
            durable.clear();
        }
        durable.add(walRecord);
    }
}

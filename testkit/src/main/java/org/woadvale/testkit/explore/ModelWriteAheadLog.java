package org.woadvale.testkit.explore;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.woadvale.common.wal.WalRecord;
import org.woadvale.common.wal.WriteAheadLog;

/** The write-ahead log of one life of a node; syncs happen when the model says so. */
final class ModelWriteAheadLog implements WriteAheadLog {
    private static final int LARGEST_RECORD_BYTES = 1 << 20;
    private final ModelDisk disk;
    private Optional<Runnable> snapshot = Optional.empty();

    ModelWriteAheadLog(ModelDisk disk) {
        this.disk = disk;
    }

    /** Asks the replica for a snapshot, as a filling disk does. */
    void press() {
        snapshot.ifPresent(Runnable::run);
    }

    @Override
    public Map<String, List<WalRecord>> recovered() {
        List<WalRecord> entries = disk.durable();
        return entries.isEmpty() ? Map.of() : Map.of(ModelNode.PARTITION, entries);
    }

    @Override
    public void append(List<WalRecord> entries, Runnable done) {
        disk.write(entries, done);
    }

    @Override
    public void onSpaceNeeded(String part, Runnable giveBase) {
        snapshot = Optional.of(giveBase);
    }

    @Override
    public void expectSnapshotBytes(String partition, long bytes) {
        // there is no ring that could fill
    }

    @Override
    public boolean nearlyFull() {
        return false;
    }

    @Override
    public void onFailure(Consumer<String> why) {
        // the model's disks do not fail, they are lost
    }

    @Override
    public long syncs() {
        return 0;
    }

    @Override
    public long filesWritten() {
        return 0;
    }

    @Override
    public int largestRecordBytes() {
        return LARGEST_RECORD_BYTES;
    }
}

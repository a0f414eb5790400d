package org.woadvale.testkit.explore;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.woadvale.common.wal.WalRecord;
import org.woadvale.common.wal.WriteAheadLog;

/** The write-ahead log of one incarnation of a node; syncs happen only when the model schedules them. */
final class ModelWriteAheadLog implements WriteAheadLog {
    private static final int LARGEST_RECORD_BYTES = 1 << 20;
    private final ModelDisk disk;
    private Optional<Runnable> snapshotRequest = Optional.empty();

    ModelWriteAheadLog(ModelDisk disk) {
        this.disk = disk;
    }

    /** Requests a snapshot from the replica, as a log that runs out of space does. */
    void requestSnapshot() {
        snapshotRequest.ifPresent(Runnable::run);
    }

    @Override
    public Map<String, List<WalRecord>> recovered() {
        List<WalRecord> records = disk.durable();
        return records.isEmpty() ? Map.of() : Map.of(ModelNode.PARTITION, records);
    }

    @Override
    public void append(List<WalRecord> records, Runnable done) {
        disk.write(records, done);
    }

    @Override
    public void onSnapshotNeeded(String partition, Runnable requestSnapshot) {
        snapshotRequest = Optional.of(requestSnapshot);
    }

    @Override
    public void expectSnapshotBytes(String partition, long bytes) {
        // the model has no ring of files that could fill up
    }

    @Override
    public boolean nearlyFull() {
        return false;
    }

    @Override
    public void onFailure(Consumer<String> reason) {
        // disks in the model are lost as a whole and never report an error
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

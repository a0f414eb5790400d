package org.woadvale.testkit.explore;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.woadvale.common.wal.WalRecord;
import org.woadvale.common.wal.WriteAheadLog;

/** Forwards every call to another log; mutants override single methods. */
abstract class ForwardingLog implements WriteAheadLog {
    private final WriteAheadLog log;

    ForwardingLog(WriteAheadLog log) {
        this.log = log;
    }

    @Override
    public Map<String, List<WalRecord>> recovered() {
        return log.recovered();
    }

    @Override
    public void append(List<WalRecord> entries, Runnable done) {
        log.append(entries, done);
    }

    @Override
    public void onSnapshotNeeded(String partition, Runnable requestSnapshot) {
        log.onSnapshotNeeded(partition, requestSnapshot);
    }

    @Override
    public void expectSnapshotBytes(String partition, long bytes) {
        log.expectSnapshotBytes(partition, bytes);
    }

    @Override
    public boolean nearlyFull() {
        return log.nearlyFull();
    }

    @Override
    public void onFailure(Consumer<String> reason) {
        log.onFailure(reason);
    }

    @Override
    public long syncs() {
        return log.syncs();
    }

    @Override
    public long filesWritten() {
        return log.filesWritten();
    }

    @Override
    public int largestRecordBytes() {
        return log.largestRecordBytes();
    }
}

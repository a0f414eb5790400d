package org.woadvale.common.wal;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The write-ahead log of a process without a disk; appending to it throws. */
public final class DisabledWriteAheadLog implements WriteAheadLog {
    @Override
    public Map<String, List<WalRecord>> recovered() {
        return Map.of();
    }

    @Override
    public void append(List<WalRecord> records, Runnable onSynced) {
        throw new IllegalStateException("this process has no disk");
    }

    @Override
    public void onSnapshotNeeded(String partition, Runnable takeSnapshot) {
        throw new IllegalStateException("this process has no disk");
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
    public void onFailure(Consumer<String> handler) {
        // nothing can fail
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
        return 0;
    }
}

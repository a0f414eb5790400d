package org.woadvale.common.wal;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** For processes without a disk: nothing may be written. */
public final class DisabledWriteAheadLog implements WriteAheadLog {
    @Override
    public Map<String, List<WalRecord>> recovered() {
        return Map.of();
    }

    @Override
    public void append(List<WalRecord> entries, Runnable done) {
        throw new IllegalStateException("this process has no disk");
    }

    @Override
    public void onSpaceNeeded(String partition, Runnable giveBase) {
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
    public void onFailure(Consumer<String> reason) {
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

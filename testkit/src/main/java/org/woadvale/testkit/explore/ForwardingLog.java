package org.woadvale.testkit.explore;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.woadvale.common.wal.WalRecord;
import org.woadvale.common.wal.WriteAheadLog;

/** Hands everything on to another log; mutants change single calls. */
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
    public void onSpaceNeeded(String part, Runnable giveBase) {
        log.onSpaceNeeded(part, giveBase);
    }

    @Override
    public void expectSnapshotBytes(String part, long bytes) {
        log.expectSnapshotBytes(part, bytes);
    }

    @Override
    public boolean nearlyFull() {
        return log.nearlyFull();
    }

    @Override
    public void onFailure(Consumer<String> why) {
        log.onFailure(why);
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

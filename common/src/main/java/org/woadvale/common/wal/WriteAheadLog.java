package org.woadvale.common.wal;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Synced records of every partition of this process. */
public interface WriteAheadLog {
    /** What each partition wrote, from its last snapshot on. */
    Map<String, List<WalRecord>> recovered();

    /** Done runs after the records are synced; never if the disk fails. */
    void append(List<WalRecord> entries, Runnable done);

    /** A partition that holds back the oldest file is asked for a new snapshot. */
    void onSpaceNeeded(String partition, Runnable giveBase);

    /**
     * A partition's next snapshot is expected to have so many bytes at the most, which is less than the records that it
     * replaces where messages have ended since. Until it is told, the log goes by those records.
     */
    void expectSnapshotBytes(String partition, long bytes);

    /** True when only room for outcomes is left. */
    boolean nearlyFull();

    /** Called once when the disk fails; the process must stop. */
    void onFailure(Consumer<String> reason);

    /** Syncs so far. */
    long syncs();

    /** Since the folder was made; more than there are files once the ring has wrapped. */
    long filesWritten();

    /** The most bytes that one record can have; a partition's snapshot must fit. */
    int largestRecordBytes();
}

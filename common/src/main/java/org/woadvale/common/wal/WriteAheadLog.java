package org.woadvale.common.wal;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Durable log of the records of all partitions of this process. */
public interface WriteAheadLog {
    /** The recovered records of each partition, beginning with its last snapshot. */
    Map<String, List<WalRecord>> recovered();

    /** Appends records. The callback runs once they are synced; it never runs if the disk fails. */
    void append(List<WalRecord> records, Runnable onSynced);

    /** Sets the callback that asks a partition for a new snapshot while it retains the oldest file. */
    void onSnapshotNeeded(String partition, Runnable takeSnapshot);

    /**
     * Sets the maximum expected size of a partition's next snapshot, which is less than the size of the records that it
     * replaces if messages have ended since. Until it is set, the size of those records is assumed.
     */
    void expectSnapshotBytes(String partition, long bytes);

    /**
     * Whether new work must be rejected, as only the space reserved for outcomes is left or too many bytes wait to be
     * written.
     */
    boolean nearlyFull();

    /** Sets the callback that is called once if the disk fails; the process must then stop. */
    void onFailure(Consumer<String> handler);

    /** The number of syncs so far. */
    long syncs();

    /**
     * The number of files written since the folder was created; it exceeds the number of files once the ring has
     * wrapped.
     */
    long filesWritten();

    /** Maximum size of a record in bytes; a snapshot of a partition must fit. */
    int largestRecordBytes();
}

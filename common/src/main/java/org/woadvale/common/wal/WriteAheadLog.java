package org.woadvale.common.wal;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Synced records of every part of this process. */
public interface WriteAheadLog {
    /** What each part wrote, from its last base on. */
    Map<String, List<WalRecord>> recovered();

    /** Done runs after the records are synced; never if the disk fails. */
    void append(List<WalRecord> entries, Runnable done);

    /** A part that holds back the oldest file is asked for a new base. */
    void onSpaceNeeded(String part, Runnable giveBase);

    /** True when only room for outcomes is left. */
    boolean nearlyFull();

    /** Called once when the disk fails; the process must stop. */
    void onFailure(Consumer<String> why);

    /** Syncs so far. */
    long syncs();

    /** Since the folder was made; more than there are files once the ring has wrapped. */
    long filesWritten();

    /** The most bytes that one record can have; a partition's snapshot must fit. */
    int largestRecordBytes();
}

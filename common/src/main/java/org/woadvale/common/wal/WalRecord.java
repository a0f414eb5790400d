package org.woadvale.common.wal;

/** One record of a partition. A SNAPSHOT replaces everything that the partition wrote before it. */
public record WalRecord(String partition, Kind kind, long index, long term, byte[] bytes, byte format) {
    /** The format in which this build writes the bytes. */
    public static final byte FORMAT = 3;

    /** A record in the format of this build. */
    public WalRecord(String partition, Kind kind, long index, long term, byte[] bytes) {
        this(partition, kind, index, term, bytes, FORMAT);
    }

    /** The type of the payload. Stored by ordinal: add new constants only at the end. */
    public enum Kind {
        /** Replaces every earlier record of its partition. */
        SNAPSHOT,
        /** An entry of the replicated log. */
        ENTRY,
        /** The vote of a replica in its term. */
        VOTE
    }
}

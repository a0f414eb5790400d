package org.woadvale.common.wal;

/** One record of a part. A BASE replaces everything the part wrote before it. */
public record WalRecord(String partition, Kind kind, long index, long term, byte[] bytes, byte format) {
    /** The format in which this build writes the bytes. */
    public static final byte FORMAT = 3;

    public WalRecord(String part, Kind kind, long index, long term, byte[] bytes) {
        this(part, kind, index, term, bytes, FORMAT);
    }

    public enum Kind {
        SNAPSHOT,
        ENTRY,
        VOTE
    }
}

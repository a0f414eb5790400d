package org.woadvale.foundation.logbook;

/** One record of a part. A BASE replaces everything the part wrote before it. */
public record Entry(String part, Kind kind, long index, long term, byte[] bytes) {
    public enum Kind { BASE, ENTRY, VOTE }
}

package org.woadvale.common.replication;

/** One entry of a part's log. */
public record LogEntry(long term, Kind kind, byte[] bytes) {
    public enum Kind {
        COMMAND,
        MEMBERSHIP,
        NO_OP
    }
}

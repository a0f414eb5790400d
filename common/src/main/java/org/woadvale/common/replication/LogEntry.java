package org.woadvale.common.replication;

/**
 * One entry of a partition's log.
 *
 * @param term the term of the leader that appended it
 * @param bytes the encoded command or members; empty for a NO_OP
 */
public record LogEntry(long term, Kind kind, byte[] bytes) {
    /** The type of the payload. Stored by ordinal: append constants only at the end. */
    public enum Kind {
        /** A command of the state machine. */
        COMMAND,
        /** The members of the group from this entry on. */
        MEMBERSHIP,
        /** No payload; the first entry of a term. */
        NO_OP
    }
}

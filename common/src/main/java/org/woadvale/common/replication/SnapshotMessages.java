package org.woadvale.common.replication;

import java.util.List;
import org.woadvale.common.rpc.RepeatableRequest;

/** The transfer of a snapshot in pieces. design 5.8 */
public final class SnapshotMessages {
    private SnapshotMessages() {}

    /** Which snapshot a piece belongs to; a follower that holds pieces of another one drops them. */
    public record SnapshotId(long index, long indexTerm, long totalBytes, int checksum) {}

    /** The bytes of a snapshot from an offset on, sent by the leader of a term. */
    public record SnapshotPiece(String part, long term, SnapshotId id, long offset, byte[] bytes)
            implements RepeatableRequest {}

    /** What a follower did with a piece. */
    public enum PieceStatus {
        /** Taken, or held already: the next piece begins at the offset of the answer. */
        ACCEPTED,
        /** Not the piece that comes next: nothing changed; the next one begins at the offset of the answer. */
        OUT_OF_TURN,
        /** The whole does not have its checksum: all pieces are dropped. */
        CORRUPT,
        /** Larger than this replica can store: nothing changed. */
        TOO_LARGE,
        /** The sender's term is over: nothing changed. */
        OUTDATED_TERM,
        /** The snapshot, or a later state, is installed and synced. */
        INSTALLED
    }

    /** The follower's term, what it did with the piece, and the offset in bytes at which the next one begins. */
    public record SnapshotReply(
            long term, PieceStatus status, long nextOffset, long match, String identity, boolean willing) {}

    /** A follower reported less than it had confirmed: it must take another identity. design 5.8 */
    public record IdentityRevoked(String part, long term, String identity) implements RepeatableRequest {}

    public static List<Class<?>> types() {
        return List.of(
                SnapshotId.class, SnapshotPiece.class, PieceStatus.class, SnapshotReply.class, IdentityRevoked.class);
    }
}

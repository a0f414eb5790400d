package org.woadvale.common.replication;

import java.util.List;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.RepeatableRequest;

/** The transfer of a snapshot in pieces. design 5.8 */
public final class SnapshotMessages {
    private SnapshotMessages() {}

    /** Which snapshot a piece belongs to; a follower that holds pieces of another one drops them. */
    public record SnapshotId(long index, long indexTerm, long totalBytes, int checksum) {}

    /** A part of a snapshot's bytes, from the offset on. */
    public record SnapshotChunkRequest(
            @FirstFormatName("part") String partition,
            long term,
            @FirstFormatName("id") SnapshotId snapshot,
            long offset,
            byte[] bytes)
            implements RepeatableRequest {}

    /** What became of a piece. */
    public enum ChunkStatus {
        /** Taken, or held already: the next piece begins at the offset of the answer. */
        ACCEPTED,
        /** Not the piece that comes next: nothing changed; the next one begins at the offset of the answer. */
        UNEXPECTED_OFFSET,
        /** The whole does not have its checksum: all pieces are dropped. */
        CORRUPT,
        /** Larger than this replica can store: nothing changed. */
        TOO_LARGE,
        /** The sender's term is over: nothing changed. */
        OUTDATED_TERM,
        /** The snapshot, or a later state, is installed and synced. */
        INSTALLED
    }

    /** The one answer to a piece. */
    public record SnapshotChunkResponse(
            long term,
            ChunkStatus status,
            long nextOffset,
            @FirstFormatName("match") long matchIndex,
            String identity,
            @FirstFormatName("willing") boolean electable) {}

    /** A follower reported less than it had confirmed: it must take another identity. design 5.8 */
    public record RevokeIdentityRequest(String partition, long term, String identity) implements RepeatableRequest {}

    public static List<Class<?>> types() {
        return List.of(
                SnapshotId.class,
                SnapshotChunkRequest.class,
                ChunkStatus.class,
                SnapshotChunkResponse.class,
                RevokeIdentityRequest.class);
    }
}

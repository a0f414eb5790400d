package org.woadvale.common.replication;

import java.util.List;
import org.woadvale.common.rpc.FirstFormatName;

/** Messages that transfer a snapshot in chunks. */
public final class SnapshotMessages {
    private SnapshotMessages() {}

    /** Identifies the snapshot that a chunk belongs to; a follower drops the chunks it has of another snapshot. */
    public record SnapshotId(long index, long indexTerm, long totalBytes, int checksum) {}

    /** Bytes of a snapshot, from an offset on. */
    public record SnapshotChunkRequest(
            @FirstFormatName("part") String partition,
            long term,
            @FirstFormatName("id") SnapshotId snapshot,
            long offset,
            byte[] bytes)
            implements ReplicationRequest {}

    /** The result of receiving a chunk. */
    public enum ChunkStatus {
        /** Accepted: the next chunk begins at the offset in the response. */
        ACCEPTED,
        /** Not the expected chunk, so nothing changed; the next chunk begins at the offset in the response. */
        UNEXPECTED_OFFSET,
        /** The snapshot does not match its checksum or cannot be read: all chunks are dropped. */
        CORRUPT,
        /** The snapshot is larger than this replica can store; nothing changed. */
        TOO_LARGE,
        /** The sender's term is outdated; nothing changed. */
        OUTDATED_TERM,
        /** The snapshot, or a later state, is installed and synced. */
        INSTALLED
    }

    /** The response to a chunk. */
    public record SnapshotChunkResponse(
            long term,
            ChunkStatus status,
            long nextOffset,
            @FirstFormatName("match") long matchIndex,
            String identity,
            @FirstFormatName("willing") boolean electable) {}

    /** Tells a follower that reported fewer entries than it had acknowledged to take another identity. */
    public record RevokeIdentityRequest(String partition, long term, String identity) implements ReplicationRequest {}

    /** All types in the order of their numbers on the wire: append only at the end. */
    public static List<Class<?>> types() {
        return List.of(
                SnapshotId.class,
                SnapshotChunkRequest.class,
                ChunkStatus.class,
                SnapshotChunkResponse.class,
                RevokeIdentityRequest.class);
    }
}

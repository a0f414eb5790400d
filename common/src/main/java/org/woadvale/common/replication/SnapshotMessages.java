package org.woadvale.common.replication;

import java.util.List;
import org.woadvale.common.rpc.FirstFormatName;

/** The transfer of a snapshot in chunks. */
public final class SnapshotMessages {
    private SnapshotMessages() {}

    /** Which snapshot a chunk belongs to; a follower that holds chunks of another one drops them. */
    public record SnapshotId(long index, long indexTerm, long totalBytes, int checksum) {}

    /** Bytes of a snapshot, from an offset on. */
    public record SnapshotChunkRequest(
            @FirstFormatName("part") String partition,
            long term,
            @FirstFormatName("id") SnapshotId snapshot,
            long offset,
            byte[] bytes)
            implements ReplicationRequest {}

    /** What became of a chunk. */
    public enum ChunkStatus {
        /** Accepted, or received before: the next chunk begins at the offset of the answer. */
        ACCEPTED,
        /** Not the chunk that comes next: nothing changed; the next one begins at the offset of the answer. */
        UNEXPECTED_OFFSET,
        /** The snapshot does not have its checksum: all chunks are dropped. */
        CORRUPT,
        /** Larger than this replica can store: nothing changed. */
        TOO_LARGE,
        /** The sender's term is over: nothing changed. */
        OUTDATED_TERM,
        /** The snapshot, or a later state, is installed and synced. */
        INSTALLED
    }

    /** The answer to a chunk. */
    public record SnapshotChunkResponse(
            long term,
            ChunkStatus status,
            long nextOffset,
            @FirstFormatName("match") long matchIndex,
            String identity,
            @FirstFormatName("willing") boolean electable) {}

    /** The follower reported less than it had acknowledged: it must take another identity. */
    public record RevokeIdentityRequest(String partition, long term, String identity) implements ReplicationRequest {}

    /** All types by their numbers on the wire: only ever add at the end. */
    public static List<Class<?>> types() {
        return List.of(
                SnapshotId.class,
                SnapshotChunkRequest.class,
                ChunkStatus.class,
                SnapshotChunkResponse.class,
                RevokeIdentityRequest.class);
    }
}

package org.woadvale.common.replication;

import java.util.Arrays;
import java.util.Optional;
import org.woadvale.common.replication.SnapshotMessages.ChunkStatus;
import org.woadvale.common.replication.SnapshotMessages.SnapshotChunkRequest;
import org.woadvale.common.replication.SnapshotMessages.SnapshotId;

/** Puts the chunks of one snapshot together. What was received outlives a change of the leader, not a restart. */
final class SnapshotReceiver {
    private static final int INITIAL_CAPACITY = 64 << 10;

    /** What a chunk led to; the snapshot is there once it is complete and its checksum right. */
    record ReceivedChunk(ChunkStatus status, long nextOffset, Optional<SnapshotContent> snapshot) {
        static ReceivedChunk incomplete(ChunkStatus status, long nextOffset) {
            return new ReceivedChunk(status, nextOffset, Optional.empty());
        }
    }

    private final long largestSnapshotBytes;
    private Optional<SnapshotId> current = Optional.empty();
    private byte[] bytes = new byte[0];
    private int received;

    SnapshotReceiver(long largest) {
        this.largestSnapshotBytes = largest;
    }

    ReceivedChunk receive(SnapshotChunkRequest piece) {
        SnapshotId id = piece.snapshot();
        if (id.totalBytes() > largestSnapshotBytes || id.totalBytes() <= 0) {
            return ReceivedChunk.incomplete(ChunkStatus.TOO_LARGE, 0);
        }
        if (!current.equals(Optional.of(id))) {
            if (piece.offset() != 0) {
                return ReceivedChunk.incomplete(ChunkStatus.UNEXPECTED_OFFSET, 0);
            }
            clear();
            current = Optional.of(id);
        }
        boolean fits = piece.offset() + piece.bytes().length <= id.totalBytes();
        if (piece.offset() != received || !fits) {
            return ReceivedChunk.incomplete(ChunkStatus.UNEXPECTED_OFFSET, received);
        }
        add(piece.bytes(), (int) id.totalBytes());
        return received < id.totalBytes() ? ReceivedChunk.incomplete(ChunkStatus.ACCEPTED, received) : finish(id);
    }

    private void add(byte[] piece, int total) {
        int needed = received + piece.length;
        if (needed > bytes.length) {
            bytes = Arrays.copyOf(
                    bytes, Math.min(total, Math.max(Math.max(INITIAL_CAPACITY, needed), 2 * bytes.length)));
        }
        System.arraycopy(piece, 0, bytes, received, piece.length);
        received = needed;
    }

    private ReceivedChunk finish(SnapshotId id) {
        byte[] complete = bytes;
        clear();
        if (SnapshotContent.checksum(complete, complete.length) != id.checksum()) {
            return ReceivedChunk.incomplete(ChunkStatus.CORRUPT, 0);
        }
        SnapshotContent content = new SnapshotContent(id.index(), id.indexTerm(), complete, id.checksum());
        return new ReceivedChunk(ChunkStatus.ACCEPTED, id.totalBytes(), Optional.of(content));
    }

    private void clear() {
        current = Optional.empty();
        bytes = new byte[0];
        received = 0;
    }
}

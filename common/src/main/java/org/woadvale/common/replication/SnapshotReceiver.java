package org.woadvale.common.replication;

import java.util.Arrays;
import java.util.Optional;
import org.woadvale.common.replication.SnapshotMessages.ChunkStatus;
import org.woadvale.common.replication.SnapshotMessages.SnapshotChunkRequest;
import org.woadvale.common.replication.SnapshotMessages.SnapshotId;

/** Assembles the chunks of one snapshot. Received chunks survive a change of the leader, but not a restart. */
final class SnapshotReceiver {
    private static final int INITIAL_CAPACITY = 64 << 10;

    /** The result of receiving a chunk, with the snapshot once it is complete and its checksum matches. */
    record ReceivedChunk(ChunkStatus status, long nextOffset, Optional<SnapshotContent> snapshot) {
        static ReceivedChunk incomplete(ChunkStatus status, long nextOffset) {
            return new ReceivedChunk(status, nextOffset, Optional.empty());
        }
    }

    private final long largestSnapshotBytes;
    private Optional<SnapshotId> current = Optional.empty();
    private byte[] bytes = new byte[0];
    private int received;

    SnapshotReceiver(long largestSnapshotBytes) {
        this.largestSnapshotBytes = largestSnapshotBytes;
    }

    ReceivedChunk receive(SnapshotChunkRequest chunk) {
        SnapshotId id = chunk.snapshot();
        if (id.totalBytes() > largestSnapshotBytes || id.totalBytes() <= 0) {
            return ReceivedChunk.incomplete(ChunkStatus.TOO_LARGE, 0);
        }
        if (!current.equals(Optional.of(id))) {
            if (chunk.offset() != 0) {
                return ReceivedChunk.incomplete(ChunkStatus.UNEXPECTED_OFFSET, 0);
            }
            clear();
            current = Optional.of(id);
        }
        boolean fits = chunk.offset() + chunk.bytes().length <= id.totalBytes();
        if (chunk.offset() != received || !fits) {
            return ReceivedChunk.incomplete(ChunkStatus.UNEXPECTED_OFFSET, received);
        }
        add(chunk.bytes(), (int) id.totalBytes());
        return received < id.totalBytes() ? ReceivedChunk.incomplete(ChunkStatus.ACCEPTED, received) : finish(id);
    }

    private void add(byte[] chunk, int total) {
        int needed = received + chunk.length;
        if (needed > bytes.length) {
            bytes = Arrays.copyOf(
                    bytes, Math.min(total, Math.max(Math.max(INITIAL_CAPACITY, needed), 2 * bytes.length)));
        }
        System.arraycopy(chunk, 0, bytes, received, chunk.length);
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

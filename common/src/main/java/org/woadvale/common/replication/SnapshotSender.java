package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Arrays;

/** Sends one snapshot to one follower in chunks; after a lost request it sends a smaller chunk from the same offset. */
final class SnapshotSender {
    /** A response within this fraction of the timeout is fast, and the next chunk may be larger. */
    private static final int FAST_FRACTION = 4;

    static final int MAX_CHUNK_BYTES = 256 << 10;
    static final int MIN_CHUNK_BYTES = 16 << 10;

    private final SnapshotContent content;
    private final Duration requestTimeout;
    private int offset;
    private int chunkBytes = MAX_CHUNK_BYTES;

    SnapshotSender(SnapshotContent content, Duration requestTimeout) {
        this.content = content;
        this.requestTimeout = requestTimeout;
    }

    long index() {
        return content.index();
    }

    SnapshotMessages.SnapshotChunkRequest nextChunk(String partition, long term) {
        int end = Math.min(content.bytes().length, offset + chunkBytes);
        SnapshotMessages.SnapshotId id = new SnapshotMessages.SnapshotId(
                content.index(), content.indexTerm(), content.bytes().length, content.checksum());
        return new SnapshotMessages.SnapshotChunkRequest(
                partition, term, id, offset, Arrays.copyOfRange(content.bytes(), offset, end));
    }

    void onResponse(SnapshotMessages.SnapshotChunkResponse response, Duration elapsed) {
        boolean withinSnapshot = response.nextOffset() >= 0 && response.nextOffset() < content.bytes().length;
        offset = withinSnapshot ? (int) response.nextOffset() : 0;
        if (elapsed.multipliedBy(FAST_FRACTION).compareTo(requestTimeout) < 0) {
            chunkBytes = Math.min(MAX_CHUNK_BYTES, chunkBytes * 2);
        }
    }

    void onLost() {
        chunkBytes = Math.max(MIN_CHUNK_BYTES, chunkBytes / 2);
    }
}

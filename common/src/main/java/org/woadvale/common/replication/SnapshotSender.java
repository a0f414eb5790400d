package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Arrays;

/** Sends one snapshot to one follower, piece by piece; a lost call is followed by a smaller piece from the same place. */
final class SnapshotSender {
    static final int LARGEST_PIECE = 256 << 10;
    static final int SMALLEST_PIECE = 16 << 10;

    private final SnapshotContent content;
    private final Duration callTime;
    private int offset;
    private int pieceBytes = LARGEST_PIECE;

    SnapshotSender(SnapshotContent content, Duration callTime) {
        this.content = content;
        this.callTime = callTime;
    }

    long index() {
        return content.index();
    }

    SnapshotMessages.SnapshotPiece next(String part, long term) {
        int end = Math.min(content.bytes().length, offset + pieceBytes);
        SnapshotMessages.SnapshotId id = new SnapshotMessages.SnapshotId(
                content.index(), content.indexTerm(), content.bytes().length, content.checksum());
        return new SnapshotMessages.SnapshotPiece(
                part, term, id, offset, Arrays.copyOfRange(content.bytes(), offset, end));
    }

    void answered(SnapshotMessages.SnapshotReply reply, Duration took) {
        boolean inside = reply.nextOffset() >= 0 && reply.nextOffset() < content.bytes().length;
        offset = inside ? (int) reply.nextOffset() : 0;
        if (took.multipliedBy(4).compareTo(callTime) < 0) {
            pieceBytes = Math.min(LARGEST_PIECE, pieceBytes * 2);
        }
    }

    void lost() {
        pieceBytes = Math.max(SMALLEST_PIECE, pieceBytes / 2);
    }
}

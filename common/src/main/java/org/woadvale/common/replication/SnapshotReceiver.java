package org.woadvale.common.replication;

import java.util.Arrays;
import java.util.Optional;
import org.woadvale.common.replication.SnapshotMessages.PieceStatus;
import org.woadvale.common.replication.SnapshotMessages.SnapshotId;
import org.woadvale.common.replication.SnapshotMessages.SnapshotPiece;

/** Puts the pieces of one snapshot together. What was received outlives a change of the leader, not a restart. */
final class SnapshotReceiver {
    private static final int FIRST_ROOM = 64 << 10;

    /** What a piece led to; the content is there once it is whole and sound. */
    record Progress(PieceStatus status, long nextOffset, Optional<SnapshotContent> whole) {
        static Progress at(PieceStatus status, long nextOffset) {
            return new Progress(status, nextOffset, Optional.empty());
        }
    }

    private final long largest;
    private Optional<SnapshotId> current = Optional.empty();
    private byte[] bytes = new byte[0];
    private int received;

    SnapshotReceiver(long largest) {
        this.largest = largest;
    }

    Progress take(SnapshotPiece piece) {
        SnapshotId id = piece.id();
        if (id.totalBytes() > largest || id.totalBytes() <= 0) {
            return Progress.at(PieceStatus.TOO_LARGE, 0);
        }
        if (!current.equals(Optional.of(id))) {
            if (piece.offset() != 0) {
                return Progress.at(PieceStatus.OUT_OF_TURN, 0);
            }
            clear();
            current = Optional.of(id);
        }
        boolean fits = piece.offset() + piece.bytes().length <= id.totalBytes();
        if (piece.offset() != received || !fits) {
            return Progress.at(PieceStatus.OUT_OF_TURN, received);
        }
        add(piece.bytes(), (int) id.totalBytes());
        return received < id.totalBytes() ? Progress.at(PieceStatus.ACCEPTED, received) : finish(id);
    }

    private void add(byte[] piece, int total) {
        int needed = received + piece.length;
        if (needed > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(total, Math.max(Math.max(FIRST_ROOM, needed), 2 * bytes.length)));
        }
        System.arraycopy(piece, 0, bytes, received, piece.length);
        received = needed;
    }

    private Progress finish(SnapshotId id) {
        byte[] whole = bytes;
        clear();
        if (SnapshotContent.checksum(whole, whole.length) != id.checksum()) {
            return Progress.at(PieceStatus.CORRUPT, 0);
        }
        SnapshotContent content = new SnapshotContent(id.index(), id.indexTerm(), whole, id.checksum());
        return new Progress(PieceStatus.ACCEPTED, id.totalBytes(), Optional.of(content));
    }

    private void clear() {
        current = Optional.empty();
        bytes = new byte[0];
        received = 0;
    }
}

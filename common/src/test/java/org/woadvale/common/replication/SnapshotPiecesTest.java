package org.woadvale.common.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.woadvale.common.replication.SnapshotMessages.PieceStatus;
import org.woadvale.common.replication.SnapshotMessages.SnapshotId;
import org.woadvale.common.replication.SnapshotMessages.SnapshotPiece;
import org.woadvale.common.replication.SnapshotMessages.SnapshotReply;

/** One answer for each piece, in turn or not, and the whole only if it is the whole that was sent. */
class SnapshotPiecesTest {
    private static final Duration CALL = Duration.ofMillis(500);
    private static final long LARGEST = 4 << 20;
    private final Random random = new Random(17);
    private final SnapshotReceiver receiver = new SnapshotReceiver(LARGEST);

    private SnapshotContent content(int size) {
        byte[] bytes = new byte[size];
        random.nextBytes(bytes);
        return SnapshotContent.of(40, 3, bytes);
    }

    private static SnapshotPiece corrupted(SnapshotPiece piece) {
        byte[] bytes = piece.bytes().clone();
        bytes[bytes.length / 2] ^= 1;
        return new SnapshotPiece(piece.part(), piece.term(), piece.id(), piece.offset(), bytes);
    }

    private static SnapshotPiece at(SnapshotPiece piece, long offset) {
        return new SnapshotPiece(piece.part(), piece.term(), piece.id(), offset, piece.bytes());
    }

    private static void tell(SnapshotSender sender, SnapshotReceiver.Progress progress) {
        sender.answered(
                new SnapshotReply(1, progress.status(), progress.nextOffset(), 0, "x", true), Duration.ofMillis(20));
    }

    @Test
    void thePiecesMakeTheWholeThroughLossesAndRepeats() {
        SnapshotContent sent = content(1_500_000);
        SnapshotSender sender = new SnapshotSender(sent, CALL);
        int calls = 0;
        while (true) {
            calls++;
            SnapshotPiece piece = sender.next("p", 1);
            assertTrue(piece.bytes().length <= SnapshotSender.LARGEST_PIECE);
            if (calls % 4 == 1) {
                sender.lost();
                continue;
            }
            SnapshotReceiver.Progress progress = receiver.take(piece);
            if (progress.whole().isPresent()) {
                assertArrayEquals(sent.bytes(), progress.whole().orElseThrow().bytes());
                assertTrue(calls < 40, "took " + calls + " calls");
                return;
            }
            if (calls % 4 == 3) {
                sender.lost();
            } else {
                tell(sender, progress);
            }
        }
    }

    @Test
    void aRepeatedOrEarlyPieceChangesNothingAndTellsWhereToGoOn() {
        SnapshotSender sender = new SnapshotSender(content(600_000), CALL);
        SnapshotPiece first = sender.next("p", 1);
        assertEquals(PieceStatus.ACCEPTED, receiver.take(first).status());
        for (SnapshotPiece wrong : new SnapshotPiece[] {first, at(first, 300_000), at(first, 599_999)}) {
            SnapshotReceiver.Progress progress = receiver.take(wrong);
            assertEquals(PieceStatus.OUT_OF_TURN, progress.status());
            assertEquals(first.bytes().length, progress.nextOffset());
        }
    }

    @Test
    void aPieceOfAnUnknownSnapshotStartsAtItsBeginningOnly() {
        SnapshotPiece piece = new SnapshotSender(content(600_000), CALL).next("p", 1);
        assertEquals(PieceStatus.OUT_OF_TURN, receiver.take(at(piece, 1000)).status());
        assertEquals(0, receiver.take(at(piece, 1000)).nextOffset());
    }

    @Test
    void aWrongChecksumDropsThePiecesAndTheNextTryIsWhole() {
        SnapshotContent sent = content(100_000);
        SnapshotPiece piece = new SnapshotSender(sent, CALL).next("p", 1);
        SnapshotReceiver.Progress progress = receiver.take(corrupted(piece));
        assertEquals(PieceStatus.CORRUPT, progress.status());
        assertTrue(progress.whole().isEmpty());
        assertTrue(receiver.take(piece).whole().isPresent());
    }

    @Test
    void whatCannotBeStoredIsRefusedAtOnce() {
        SnapshotPiece piece = new SnapshotPiece(
                "p", 1, new SnapshotId(40, 3, LARGEST + 1, 0), 0, new byte[SnapshotSender.SMALLEST_PIECE]);
        assertEquals(PieceStatus.TOO_LARGE, receiver.take(piece).status());
    }

    /** What one leader began another goes on with, if it is the very same snapshot. */
    @Test
    void anotherLeaderGoesOnWhereTheFollowerStands() {
        SnapshotContent sent = content(1_000_000);
        SnapshotSender former = new SnapshotSender(sent, CALL);
        tell(former, receiver.take(former.next("p", 1)));
        tell(former, receiver.take(former.next("p", 1)));
        SnapshotSender next = new SnapshotSender(sent, CALL);
        SnapshotReceiver.Progress progress = receiver.take(next.next("p", 2));
        assertEquals(2L * SnapshotSender.LARGEST_PIECE, progress.nextOffset());
        tell(next, progress);
        assertEquals(2L * SnapshotSender.LARGEST_PIECE, next.next("p", 2).offset());
    }

    @Test
    void lostCallsMakeSmallerPiecesAndFastAnswersLargerOnes() {
        SnapshotSender sender = new SnapshotSender(content(3_000_000), CALL);
        for (int i = 0; i < 20; i++) {
            sender.lost();
        }
        assertEquals(SnapshotSender.SMALLEST_PIECE, sender.next("p", 1).bytes().length);
        for (int i = 0; i < 5; i++) {
            tell(sender, receiver.take(sender.next("p", 1)));
        }
        assertEquals(SnapshotSender.LARGEST_PIECE, sender.next("p", 1).bytes().length);
    }
}

package org.woadvale.common.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.woadvale.common.replication.SnapshotMessages.ChunkStatus;
import org.woadvale.common.replication.SnapshotMessages.SnapshotChunkRequest;
import org.woadvale.common.replication.SnapshotMessages.SnapshotChunkResponse;
import org.woadvale.common.replication.SnapshotMessages.SnapshotId;

/** One answer for each piece, in turn or not, and the whole only if it is the whole that was sent. */
class SnapshotChunksTest {
    private static final Duration CALL = Duration.ofMillis(500);
    private static final long LARGEST = 4 << 20;
    private final Random random = new Random(17);
    private final SnapshotReceiver receiver = new SnapshotReceiver(LARGEST);

    private SnapshotContent content(int size) {
        byte[] bytes = new byte[size];
        random.nextBytes(bytes);
        return SnapshotContent.of(40, 3, bytes);
    }

    private static SnapshotChunkRequest corrupted(SnapshotChunkRequest piece) {
        byte[] bytes = piece.bytes().clone();
        bytes[bytes.length / 2] ^= 1;
        return new SnapshotChunkRequest(piece.partition(), piece.term(), piece.snapshot(), piece.offset(), bytes);
    }

    private static SnapshotChunkRequest at(SnapshotChunkRequest piece, long offset) {
        return new SnapshotChunkRequest(piece.partition(), piece.term(), piece.snapshot(), offset, piece.bytes());
    }

    private static void tell(SnapshotSender sender, SnapshotReceiver.ReceivedChunk progress) {
        sender.onResponse(
                new SnapshotChunkResponse(1, progress.status(), progress.nextOffset(), 0, "x", true),
                Duration.ofMillis(20));
    }

    @Test
    void thePiecesMakeTheWholeThroughLossesAndRepeats() {
        SnapshotContent sent = content(1_500_000);
        SnapshotSender sender = new SnapshotSender(sent, CALL);
        int calls = 0;
        while (true) {
            calls++;
            SnapshotChunkRequest piece = sender.nextChunk("p", 1);
            assertTrue(piece.bytes().length <= SnapshotSender.MAX_CHUNK_BYTES);
            if (calls % 4 == 1) {
                sender.onLost();
                continue;
            }
            SnapshotReceiver.ReceivedChunk progress = receiver.receive(piece);
            if (progress.snapshot().isPresent()) {
                assertArrayEquals(
                        sent.bytes(), progress.snapshot().orElseThrow().bytes());
                assertTrue(calls < 40, "took " + calls + " calls");
                return;
            }
            if (calls % 4 == 3) {
                sender.onLost();
            } else {
                tell(sender, progress);
            }
        }
    }

    @Test
    void aRepeatedOrEarlyPieceChangesNothingAndTellsWhereToGoOn() {
        SnapshotSender sender = new SnapshotSender(content(600_000), CALL);
        SnapshotChunkRequest first = sender.nextChunk("p", 1);
        assertEquals(ChunkStatus.ACCEPTED, receiver.receive(first).status());
        for (SnapshotChunkRequest wrong : new SnapshotChunkRequest[] {first, at(first, 300_000), at(first, 599_999)}) {
            SnapshotReceiver.ReceivedChunk progress = receiver.receive(wrong);
            assertEquals(ChunkStatus.UNEXPECTED_OFFSET, progress.status());
            assertEquals(first.bytes().length, progress.nextOffset());
        }
    }

    @Test
    void aPieceOfAnUnknownSnapshotStartsAtItsBeginningOnly() {
        SnapshotChunkRequest piece = new SnapshotSender(content(600_000), CALL).nextChunk("p", 1);
        assertEquals(
                ChunkStatus.UNEXPECTED_OFFSET, receiver.receive(at(piece, 1000)).status());
        assertEquals(0, receiver.receive(at(piece, 1000)).nextOffset());
    }

    @Test
    void aWrongChecksumDropsThePiecesAndTheNextTryIsWhole() {
        SnapshotContent sent = content(100_000);
        SnapshotChunkRequest piece = new SnapshotSender(sent, CALL).nextChunk("p", 1);
        SnapshotReceiver.ReceivedChunk progress = receiver.receive(corrupted(piece));
        assertEquals(ChunkStatus.CORRUPT, progress.status());
        assertTrue(progress.snapshot().isEmpty());
        assertTrue(receiver.receive(piece).snapshot().isPresent());
    }

    @Test
    void whatCannotBeStoredIsRefusedAtOnce() {
        SnapshotChunkRequest piece = new SnapshotChunkRequest(
                "p", 1, new SnapshotId(40, 3, LARGEST + 1, 0), 0, new byte[SnapshotSender.MIN_CHUNK_BYTES]);
        assertEquals(ChunkStatus.TOO_LARGE, receiver.receive(piece).status());
    }

    /** What one leader began another goes on with, if it is the very same snapshot. */
    @Test
    void anotherLeaderGoesOnWhereTheFollowerStands() {
        SnapshotContent sent = content(1_000_000);
        SnapshotSender former = new SnapshotSender(sent, CALL);
        tell(former, receiver.receive(former.nextChunk("p", 1)));
        tell(former, receiver.receive(former.nextChunk("p", 1)));
        SnapshotSender next = new SnapshotSender(sent, CALL);
        SnapshotReceiver.ReceivedChunk progress = receiver.receive(next.nextChunk("p", 2));
        assertEquals(2L * SnapshotSender.MAX_CHUNK_BYTES, progress.nextOffset());
        tell(next, progress);
        assertEquals(2L * SnapshotSender.MAX_CHUNK_BYTES, next.nextChunk("p", 2).offset());
    }

    @Test
    void lostCallsMakeSmallerPiecesAndFastAnswersLargerOnes() {
        SnapshotSender sender = new SnapshotSender(content(3_000_000), CALL);
        for (int i = 0; i < 20; i++) {
            sender.onLost();
        }
        assertEquals(SnapshotSender.MIN_CHUNK_BYTES, sender.nextChunk("p", 1).bytes().length);
        for (int i = 0; i < 5; i++) {
            tell(sender, receiver.receive(sender.nextChunk("p", 1)));
        }
        assertEquals(SnapshotSender.MAX_CHUNK_BYTES, sender.nextChunk("p", 1).bytes().length);
    }
}

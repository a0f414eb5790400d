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

/**
 * Each chunk gets a response, whether expected or not, and a snapshot is assembled only if it equals the one that was
 * sent.
 */
class SnapshotChunksTest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);
    private static final long MAX_SNAPSHOT_BYTES = 4 << 20;
    private final Random random = new Random(17);
    private final SnapshotReceiver receiver = new SnapshotReceiver(MAX_SNAPSHOT_BYTES);

    private SnapshotContent content(int size) {
        byte[] bytes = new byte[size];
        random.nextBytes(bytes);
        return SnapshotContent.of(40, 3, bytes);
    }

    private static SnapshotChunkRequest corrupted(SnapshotChunkRequest chunk) {
        byte[] bytes = chunk.bytes().clone();
        bytes[bytes.length / 2] ^= 1;
        return new SnapshotChunkRequest(chunk.partition(), chunk.term(), chunk.snapshot(), chunk.offset(), bytes);
    }

    private static SnapshotChunkRequest withOffset(SnapshotChunkRequest chunk, long offset) {
        return new SnapshotChunkRequest(chunk.partition(), chunk.term(), chunk.snapshot(), offset, chunk.bytes());
    }

    private static void respond(SnapshotSender sender, SnapshotReceiver.ReceivedChunk received) {
        sender.onResponse(
                new SnapshotChunkResponse(1, received.status(), received.nextOffset(), 0, "x", true),
                Duration.ofMillis(20));
    }

    @Test
    void chunksAreAssembledDespiteLossesAndRepeats() {
        SnapshotContent sent = content(1_500_000);
        SnapshotSender sender = new SnapshotSender(sent, REQUEST_TIMEOUT);
        int requests = 0;
        while (true) {
            requests++;
            SnapshotChunkRequest chunk = sender.nextChunk("p", 1);
            assertTrue(chunk.bytes().length <= SnapshotSender.MAX_CHUNK_BYTES);
            if (requests % 4 == 1) {
                sender.onLost();
                continue;
            }
            SnapshotReceiver.ReceivedChunk received = receiver.receive(chunk);
            if (received.snapshot().isPresent()) {
                assertArrayEquals(
                        sent.bytes(), received.snapshot().orElseThrow().bytes());
                assertTrue(requests < 40, "took " + requests + " requests");
                return;
            }
            if (requests % 4 == 3) {
                sender.onLost();
            } else {
                respond(sender, received);
            }
        }
    }

    @Test
    void unexpectedChunkChangesNothingAndReturnsTheExpectedOffset() {
        SnapshotSender sender = new SnapshotSender(content(600_000), REQUEST_TIMEOUT);
        SnapshotChunkRequest first = sender.nextChunk("p", 1);
        assertEquals(ChunkStatus.ACCEPTED, receiver.receive(first).status());
        for (SnapshotChunkRequest wrong :
                new SnapshotChunkRequest[] {first, withOffset(first, 300_000), withOffset(first, 599_999)}) {
            SnapshotReceiver.ReceivedChunk received = receiver.receive(wrong);
            assertEquals(ChunkStatus.UNEXPECTED_OFFSET, received.status());
            assertEquals(first.bytes().length, received.nextOffset());
        }
    }

    @Test
    void unknownSnapshotStartsAtOffsetZeroOnly() {
        SnapshotChunkRequest chunk = new SnapshotSender(content(600_000), REQUEST_TIMEOUT).nextChunk("p", 1);
        assertEquals(
                ChunkStatus.UNEXPECTED_OFFSET,
                receiver.receive(withOffset(chunk, 1000)).status());
        assertEquals(0, receiver.receive(withOffset(chunk, 1000)).nextOffset());
    }

    @Test
    void wrongChecksumDropsTheChunksAndARetrySucceeds() {
        SnapshotContent sent = content(100_000);
        SnapshotChunkRequest chunk = new SnapshotSender(sent, REQUEST_TIMEOUT).nextChunk("p", 1);
        SnapshotReceiver.ReceivedChunk received = receiver.receive(corrupted(chunk));
        assertEquals(ChunkStatus.CORRUPT, received.status());
        assertTrue(received.snapshot().isEmpty());
        assertTrue(receiver.receive(chunk).snapshot().isPresent());
    }

    @Test
    void tooLargeSnapshotIsRejectedAtItsFirstChunk() {
        SnapshotChunkRequest chunk = new SnapshotChunkRequest(
                "p", 1, new SnapshotId(40, 3, MAX_SNAPSHOT_BYTES + 1, 0), 0, new byte[SnapshotSender.MIN_CHUNK_BYTES]);
        assertEquals(ChunkStatus.TOO_LARGE, receiver.receive(chunk).status());
    }

    /** A new leader continues the transfer of its predecessor if the snapshot is identical. */
    @Test
    void newLeaderContinuesAtTheFollowersOffset() {
        SnapshotContent sent = content(1_000_000);
        SnapshotSender former = new SnapshotSender(sent, REQUEST_TIMEOUT);
        respond(former, receiver.receive(former.nextChunk("p", 1)));
        respond(former, receiver.receive(former.nextChunk("p", 1)));
        SnapshotSender next = new SnapshotSender(sent, REQUEST_TIMEOUT);
        SnapshotReceiver.ReceivedChunk received = receiver.receive(next.nextChunk("p", 2));
        assertEquals(2L * SnapshotSender.MAX_CHUNK_BYTES, received.nextOffset());
        respond(next, received);
        assertEquals(2L * SnapshotSender.MAX_CHUNK_BYTES, next.nextChunk("p", 2).offset());
    }

    @Test
    void chunksShrinkOnLossAndGrowOnFastResponses() {
        SnapshotSender sender = new SnapshotSender(content(3_000_000), REQUEST_TIMEOUT);
        for (int i = 0; i < 20; i++) {
            sender.onLost();
        }
        assertEquals(SnapshotSender.MIN_CHUNK_BYTES, sender.nextChunk("p", 1).bytes().length);
        for (int i = 0; i < 5; i++) {
            respond(sender, receiver.receive(sender.nextChunk("p", 1)));
        }
        assertEquals(SnapshotSender.MAX_CHUNK_BYTES, sender.nextChunk("p", 1).bytes().length);
    }
}

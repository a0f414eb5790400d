package org.woadvale.common.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.woadvale.common.replication.SnapshotMessages.SnapshotChunkRequest;
import org.woadvale.common.replication.SnapshotMessages.SnapshotChunkResponse;
import org.woadvale.common.replication.SnapshotMessages.SnapshotId;

/**
 * Chunks of two snapshots are repeated, reordered, truncated and corrupted: the receiver must never assemble a snapshot
 * that was not sent.
 */
class SnapshotChunksProperties {
    private static final int STEPS = 60;

    private static SnapshotChunkRequest corrupted(SnapshotChunkRequest chunk, Random random) {
        byte[] bytes = chunk.bytes().clone();
        SnapshotId id = chunk.snapshot();
        long offset = chunk.offset();
        switch (random.nextInt(4)) {
            case 0 -> bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            case 1 -> bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length + 1));
            case 2 -> offset = random.nextInt(1 << 20) - 1000L;
            default -> id = new SnapshotId(id.index(), id.indexTerm(), random.nextInt(1 << 20), id.checksum());
        }
        return new SnapshotChunkRequest(chunk.partition(), chunk.term(), id, offset, bytes);
    }

    @Property(tries = 300)
    void onlySentSnapshotsAreAssembled(@ForAll long seed, @ForAll @IntRange(min = 1, max = 600_000) int size) {
        Random random = new Random(seed);
        List<SnapshotContent> contents = new ArrayList<>();
        List<SnapshotSender> senders = new ArrayList<>();
        for (long index = 1; index <= 2; index++) {
            byte[] bytes = new byte[size];
            random.nextBytes(bytes);
            contents.add(SnapshotContent.of(index, 1, bytes));
            senders.add(new SnapshotSender(contents.get((int) index - 1), Duration.ofMillis(500)));
        }
        SnapshotReceiver receiver = new SnapshotReceiver(1 << 20);
        for (int step = 0; step < STEPS; step++) {
            SnapshotSender sender = senders.get(random.nextInt(20) == 0 ? 1 : 0);
            SnapshotChunkRequest chunk = sender.nextChunk("p", 1);
            SnapshotReceiver.ReceivedChunk received =
                    receiver.receive(random.nextInt(6) == 0 ? corrupted(chunk, random) : chunk);
            received.snapshot()
                    .ifPresent(assembled -> assertArrayEquals(
                            contents.get((int) assembled.index() - 1).bytes(), assembled.bytes()));
            if (random.nextInt(5) == 0) {
                sender.onLost();
            } else {
                sender.onResponse(
                        new SnapshotChunkResponse(1, received.status(), received.nextOffset(), 0, "x", true),
                        Duration.ZERO);
            }
        }
    }
}

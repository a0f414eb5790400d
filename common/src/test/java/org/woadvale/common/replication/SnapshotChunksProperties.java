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

/** Pieces of two snapshots, repeated, out of turn, cut and with wrong bytes: never another whole than was sent. */
class SnapshotChunksProperties {
    private static final int STEPS = 60;

    private static SnapshotChunkRequest spoiled(SnapshotChunkRequest piece, Random random) {
        byte[] bytes = piece.bytes().clone();
        SnapshotId id = piece.snapshot();
        long offset = piece.offset();
        switch (random.nextInt(4)) {
            case 0 -> bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            case 1 -> bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length + 1));
            case 2 -> offset = random.nextInt(1 << 20) - 1000L;
            default -> id = new SnapshotId(id.index(), id.indexTerm(), random.nextInt(1 << 20), id.checksum());
        }
        return new SnapshotChunkRequest(piece.partition(), piece.term(), id, offset, bytes);
    }

    @Property(tries = 300)
    void onlyTheWholeThatWasSentIsEverPutTogether(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 600_000) int size) {
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
            SnapshotChunkRequest piece = sender.nextChunk("p", 1);
            SnapshotReceiver.ReceivedChunk progress =
                    receiver.receive(random.nextInt(6) == 0 ? spoiled(piece, random) : piece);
            progress.snapshot()
                    .ifPresent(whole -> assertArrayEquals(
                            contents.get((int) whole.index() - 1).bytes(), whole.bytes()));
            if (random.nextInt(5) == 0) {
                sender.onLost();
            } else {
                sender.onResponse(
                        new SnapshotChunkResponse(1, progress.status(), progress.nextOffset(), 0, "x", true),
                        Duration.ZERO);
            }
        }
    }
}

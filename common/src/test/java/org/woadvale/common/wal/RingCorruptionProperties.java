package org.woadvale.common.wal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.runtime.Timers;

/**
 * After any damage to the bytes of a ring, the recovered records are ones that were written, in their order, and begin
 * with the first record or a snapshot.
 */
class RingCorruptionProperties {
    private static final int FILES = 4;
    private static final int SIZE = 2048;

    /** Queues tasks and runs them in order, without their delays. */
    private static final class QueuedTimers implements Timers {
        private final Deque<Runnable> tasks = new ArrayDeque<>();

        @Override
        public TimerHandle after(Duration delay, Runnable task) {
            tasks.add(task);
            return () -> tasks.remove(task);
        }

        @Override
        public void execute(Runnable task) {
            tasks.add(task);
        }

        @Override
        public void executeDiskTask(Runnable task) {
            tasks.add(task);
        }

        void run() {
            while (!tasks.isEmpty()) {
                tasks.poll().run();
            }
        }
    }

    private final Map<String, List<WalRecord>> written = new HashMap<>();
    /** The index of the last acknowledged record of each partition; later ones may wait for space in the ring. */
    private final Map<String, Long> acknowledged = new HashMap<>();

    private MemoryDisk writtenRing(Random random, int records) throws ServiceException {
        MemoryDisk disk = new MemoryDisk();
        QueuedTimers timers = new QueuedTimers();
        RingWriteAheadLog wal = RingWriteAheadLog.open(disk, timers, FILES, SIZE);
        for (int i = 1; i <= records; i++) {
            String partition = "m" + random.nextInt(2);
            List<WalRecord> batch = new ArrayList<>();
            for (int k = random.nextInt(3); k >= 0; k--) {
                boolean snapshot = i % 3 == 0;
                byte[] bytes = new byte[random.nextInt(120)];
                random.nextBytes(bytes);
                WalRecord.Kind kind = snapshot ? WalRecord.Kind.SNAPSHOT : WalRecord.Kind.ENTRY;
                batch.add(new WalRecord(
                        partition,
                        kind,
                        written.values().stream().mapToInt(List::size).sum() + batch.size() + 1L,
                        i,
                        bytes));
            }
            written.computeIfAbsent(partition, key -> new ArrayList<>()).addAll(batch);
            long last = batch.get(batch.size() - 1).index();
            wal.append(batch, () -> acknowledged.merge(partition, last, Math::max));
            timers.run();
        }
        return disk;
    }

    private void damage(MemoryDisk disk, Random random) {
        List<String> names = disk.list();
        byte[] file = disk.files.get(names.get(random.nextInt(names.size())));
        int from = random.nextInt(file.length);
        int to = Math.min(file.length, from + 1 + random.nextInt(64));
        switch (random.nextInt(4)) {
            case 0 -> file[from] ^= (byte) (1 << random.nextInt(8));
            case 1 -> Arrays.fill(file, from, to, (byte) 0);
            case 2 -> Arrays.fill(file, from, file.length, (byte) 0);
            default -> {
                byte[] other = disk.files.get(names.get(random.nextInt(names.size())));
                System.arraycopy(other, random.nextInt(other.length - (to - from) + 1), file, from, to - from);
            }
        }
    }

    private static boolean same(WalRecord one, WalRecord other) {
        return one.index() == other.index()
                && one.kind() == other.kind()
                && one.term() == other.term()
                && Arrays.equals(one.bytes(), other.bytes());
    }

    private void assertWasWritten(String partition, List<WalRecord> found) {
        List<WalRecord> all = written.getOrDefault(partition, List.of());
        int start = 0;
        while (start < all.size() && !same(all.get(start), found.get(0))) {
            start++;
        }
        assertTrue(start + found.size() <= all.size(), "an entry that was never written");
        for (int i = 0; i < found.size(); i++) {
            assertTrue(same(all.get(start + i), found.get(i)), "entry " + i + " of " + partition);
            assertArrayEquals(all.get(start + i).bytes(), found.get(i).bytes());
        }
        assertTrue(start == 0 || found.get(0).kind() == WalRecord.Kind.SNAPSHOT, "begins in the middle");
    }

    /** Guards against recovering a ring whose oldest file lost its first record from the next file on. */
    @Property(tries = 1500)
    void damagedBytesAreNeverRecoveredAsRecords(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 120) int records, @ForAll @IntRange(max = 3) int faults)
            throws ServiceException {
        written.clear();
        acknowledged.clear();
        Random random = new Random(seed);
        MemoryDisk disk = writtenRing(random, records);
        for (int i = 0; i < faults; i++) {
            damage(disk, random);
        }
        RingWriteAheadLog wal;
        try {
            wal = RingWriteAheadLog.open(disk, new QueuedTimers(), FILES, SIZE);
        } catch (ServiceException failure) {
            assertTrue(faults > 0, "an undamaged ring was not opened: " + failure.getMessage());
            return;
        }
        wal.recovered().forEach(this::assertWasWritten);
        if (faults == 0) {
            acknowledged.forEach((partition, last) -> assertEquals(
                    last,
                    wal.recovered()
                            .get(partition)
                            .get(wal.recovered().get(partition).size() - 1)
                            .index()));
        }
    }
}

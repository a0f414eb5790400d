package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.wal.Disk;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.common.wal.WalRecord;
import org.woadvale.testkit.simulation.Harness;
import org.woadvale.testkit.simulation.SimNet;
import org.woadvale.testkit.simulation.Simulator;

/** How many bytes the ring reads or writes at once, and in how many calls. */
class RingDiskAccessTest {
    private static final int FILES = 12;
    private static final int RING_FILE_BYTES = 8 << 20;
    private static final int RECORD_BYTES = 200_000;

    /** Records the reads and writes that pass through. */
    private static final class CountingDisk implements Disk {
        private final Disk disk;
        private final List<Integer> reads = new ArrayList<>();
        private final List<Integer> writes = new ArrayList<>();
        private final Set<byte[]> buffers = Collections.newSetFromMap(new IdentityHashMap<>());
        private final List<String> readOrder = new ArrayList<>();

        CountingDisk(Disk disk) {
            this.disk = disk;
        }

        @Override
        public List<String> list() throws IOException {
            return disk.list();
        }

        @Override
        public DiskFile open(String name, int size) throws IOException {
            DiskFile file = disk.open(name, size);
            return new DiskFile() {
                @Override
                public int size() throws IOException {
                    return file.size();
                }

                @Override
                public void write(long position, byte[] bytes, int length) throws IOException {
                    writes.add(length);
                    file.write(position, bytes, length);
                }

                @Override
                public void read(long position, byte[] into, int length) throws IOException {
                    reads.add(length);
                    buffers.add(into);
                    readOrder.add(name);
                    file.read(position, into, length);
                }

                @Override
                public void sync() throws IOException {
                    file.sync();
                }
            };
        }

        @Override
        public void setAside() throws IOException {
            disk.setAside();
        }

        int largestRead() {
            return reads.stream().mapToInt(Integer::intValue).max().orElse(0);
        }
    }

    private final Simulator sim = new Simulator(21);
    private final Harness harness = new Harness("a:1", sim, new SimNet(sim));
    private CountingDisk disk;

    private RingWriteAheadLog open() throws ServiceException {
        harness.boot(new RpcRouter());
        disk = new CountingDisk(harness.disk());
        return RingWriteAheadLog.open(disk, harness.host(), FILES, RING_FILE_BYTES);
    }

    private static WalRecord entry(long index, WalRecord.Kind kind, int size) {
        return new WalRecord("m1", kind, index, 1, new byte[size]);
    }

    /** Guards against reading all twelve files into the heap at once: 96 MB for a state of a few MB. */
    @Test
    void wrappedRingIsReadRecordByRecord() throws ServiceException {
        RingWriteAheadLog log = open();
        List<String> failed = new ArrayList<>();
        log.onFailure(failed::add);
        long last = 0;
        while (log.filesWritten() <= FILES + 2) {
            last++;
            log.append(
                    List.of(entry(last, last % 20 == 0 ? WalRecord.Kind.SNAPSHOT : WalRecord.Kind.ENTRY, RECORD_BYTES)),
                    () -> {});
            sim.run(Duration.ofMillis(20));
        }
        assertEquals(List.of(), failed);
        harness.powerLoss();
        List<WalRecord> recovered = open().recovered().get("m1");
        assertEquals(last, recovered.get(recovered.size() - 1).index());
        assertEquals(WalRecord.Kind.SNAPSHOT, recovered.get(0).kind());
        assertTrue(
                disk.largestRead() < RECORD_BYTES + 100,
                "at most one record is read at once, read " + disk.largestRead());
        assertTrue(disk.buffers.stream().mapToInt(buffer -> buffer.length).max().orElse(0) < RECORD_BYTES + 100);
        // the first record of each file, then each file in segment order, then the tail
        Set<String> names = new LinkedHashSet<>(disk.readOrder);
        assertEquals(FILES, names.size());
        int fileSwitches = 1;
        for (int i = 1; i < disk.readOrder.size(); i++) {
            fileSwitches += disk.readOrder.get(i).equals(disk.readOrder.get(i - 1)) ? 0 : 1;
        }
        assertTrue(
                fileSwitches <= 2 * FILES + 2,
                "one file after the other, not back and forth: " + fileSwitches + " switches");
    }

    @Test
    void unusedRingNeedsOnlySmallReadsAndNoWrites() throws ServiceException {
        open();
        assertTrue(disk.largestRead() <= Disk.CHUNK_BYTES);
        assertEquals(List.of(), disk.writes);
    }

    /** Guards against one write per record. */
    @Test
    void batchIsWrittenInOneWrite() throws ServiceException {
        RingWriteAheadLog log = open();
        List<WalRecord> batch = new ArrayList<>();
        for (int i = 1; i <= 40; i++) {
            batch.add(entry(i, WalRecord.Kind.ENTRY, 1000));
        }
        log.append(batch, () -> {});
        sim.run(Duration.ofMillis(20));
        assertEquals(1, disk.writes.size());
        log.append(List.of(entry(41, WalRecord.Kind.ENTRY, 300_000), entry(42, WalRecord.Kind.ENTRY, 10)), () -> {});
        sim.run(Duration.ofMillis(20));
        harness.kill();
        assertEquals(42, open().recovered().get("m1").size());
    }
}

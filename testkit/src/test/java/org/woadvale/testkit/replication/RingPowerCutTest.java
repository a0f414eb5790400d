package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.wal.Disk;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.common.wal.WalRecord;
import org.woadvale.testkit.simulation.Harness;
import org.woadvale.testkit.simulation.SimNet;
import org.woadvale.testkit.simulation.Simulator;

/** Power is lost between a write and its sync, at every position of a ring that has wrapped. */
class RingPowerCutTest {
    private static final int FILES = 4;
    private static final int RING_FILE_BYTES = 4096;
    private static final int SEEDS = 400;

    /** Fails from the given sync on, as if power were lost. */
    private static final class PowerLossDisk implements Disk {
        private final Disk disk;
        private int syncsLeft;

        PowerLossDisk(Disk disk, int syncsLeft) {
            this.disk = disk;
            this.syncsLeft = syncsLeft;
        }

        @Override
        public List<String> list() throws IOException {
            return disk.list();
        }

        @Override
        public void setAside() throws IOException {
            throw new IOException("an undamaged folder was set aside");
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
                    file.write(position, bytes, length);
                }

                @Override
                public void read(long position, byte[] into, int length) throws IOException {
                    file.read(position, into, length);
                }

                @Override
                public void sync() throws IOException {
                    syncsLeft--;
                    if (syncsLeft <= 0) {
                        throw new IOException("power lost");
                    }
                    file.sync();
                }
            };
        }
    }

    /**
     * Guards against discarding the whole folder because a first batch is torn across the oldest file, although nothing
     * in the folder is lost.
     */
    @Test
    void tornFirstBatchOverTheOldestFileIsNoDamage() throws ServiceException {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Simulator sim = new Simulator(seed);
            Harness harness = new Harness("a:1", sim, new SimNet(sim));
            List<Long> confirmed = new ArrayList<>();
            writeUntilPowerLoss(sim, harness, confirmed, 1 + (int) (seed % 40));
            harness.powerLoss();
            harness.boot(new RpcRouter());
            List<Long> kept = RingWriteAheadLog.open(
                            new PowerLossDisk(harness.disk(), Integer.MAX_VALUE),
                            harness.host(),
                            FILES,
                            RING_FILE_BYTES)
                    .recovered()
                    .getOrDefault("m1", List.of())
                    .stream()
                    .map(WalRecord::index)
                    .toList();
            long lastConfirmed =
                    confirmed.stream().mapToLong(Long::longValue).max().orElse(0);
            long lastKept = kept.isEmpty() ? 0 : kept.get(kept.size() - 1);
            assertTrue(lastKept >= lastConfirmed, "seed " + seed + ": confirmed " + confirmed + ", kept " + kept);
            for (int i = 1; i < kept.size(); i++) {
                assertEquals(kept.get(i - 1) + 1, kept.get(i), "seed " + seed);
            }
        }
    }

    private static void writeUntilPowerLoss(Simulator sim, Harness harness, List<Long> confirmed, int syncs)
            throws ServiceException {
        harness.boot(new RpcRouter());
        RingWriteAheadLog wal = RingWriteAheadLog.open(
                new PowerLossDisk(harness.disk(), syncs), harness.host(), FILES, RING_FILE_BYTES);
        List<String> failures = new ArrayList<>();
        wal.onFailure(failures::add);
        for (long i = 1; failures.isEmpty(); i++) {
            long index = i;
            WalRecord.Kind kind = i % 4 == 0 ? WalRecord.Kind.SNAPSHOT : WalRecord.Kind.ENTRY;
            wal.append(
                    List.of(new WalRecord(
                            "m1", kind, i, 1, new byte[sim.random().nextInt(1500)])),
                    () -> confirmed.add(index));
            sim.run(Duration.ofMillis(sim.random().nextInt(6)));
        }
        assertEquals(List.of("power lost"), failures);
    }
}

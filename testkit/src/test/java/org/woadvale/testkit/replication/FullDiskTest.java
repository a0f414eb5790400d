package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.common.wal.WalRecord;
import org.woadvale.testkit.simulation.Harness;
import org.woadvale.testkit.simulation.SimNet;
import org.woadvale.testkit.simulation.Simulator;

/** A disk that is full for a while: nothing is confirmed, nothing is lost, and the process keeps running. */
class FullDiskTest {
    private static final int FILES = 4;
    private static final int RING_FILE_BYTES = 4096;
    private static final int LARGE_RING_FILE_BYTES = 4 << 20;
    private final Simulator sim = new Simulator(31);
    private final Harness harness = new Harness("a:1", sim, new SimNet(sim));
    private final List<String> failures = new ArrayList<>();
    private final List<Long> confirmed = new ArrayList<>();

    @BeforeEach
    void boot() {
        harness.boot(new RpcRouter());
    }

    private RingWriteAheadLog open(int ringFileBytes) throws ServiceException {
        harness.boot(new RpcRouter());
        RingWriteAheadLog wal = RingWriteAheadLog.open(harness.disk(), harness.host(), FILES, ringFileBytes);
        wal.onFailure(failures::add);
        return wal;
    }

    private void append(RingWriteAheadLog wal, WalRecord.Kind kind, long index, int bytes) {
        wal.append(List.of(new WalRecord("m1", kind, index, 1, new byte[bytes])), () -> confirmed.add(index));
    }

    private static List<Long> recovered(RingWriteAheadLog wal) {
        return wal.recovered().getOrDefault("m1", List.of()).stream()
                .map(WalRecord::index)
                .toList();
    }

    @Test
    void fullDiskConfirmsNothingAndResumesWhereItStopped() throws ServiceException {
        RingWriteAheadLog wal = open(RING_FILE_BYTES);
        append(wal, WalRecord.Kind.ENTRY, 1, 100);
        sim.run(Duration.ofMillis(20));
        harness.disk().setFull(true);
        for (long i = 2; i <= 30; i++) {
            append(wal, WalRecord.Kind.ENTRY, i, 100);
            sim.run(Duration.ofMillis(100));
        }
        assertEquals(List.of(1L), confirmed);
        harness.disk().setFull(false);
        sim.run(Duration.ofMillis(500));
        assertEquals(30, confirmed.size());
        assertEquals(List.of(), failures);
        harness.powerLoss();
        assertEquals(confirmed.stream().sorted().toList(), recovered(open(RING_FILE_BYTES)));
    }

    /** The disk fills up and power is lost in the middle of a batch that spans two files. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void powerLossWhileTheDiskIsFullLosesNothingConfirmed(long rounds) throws ServiceException {
        RingWriteAheadLog wal = open(RING_FILE_BYTES);
        for (long i = 1; i <= rounds * 7; i++) {
            append(wal, WalRecord.Kind.ENTRY, i, 100);
            harness.disk().setFull(i % 5 == 0);
            sim.run(Duration.ofMillis(30));
        }
        harness.powerLoss();
        harness.disk().setFull(true);
        List<Long> kept = recovered(open(RING_FILE_BYTES));
        assertTrue(kept.containsAll(confirmed), "confirmed " + confirmed + ", kept " + kept);
        assertEquals(kept.stream().distinct().toList(), kept);
        assertEquals(List.of(), failures);
    }

    @Test
    void emptyFolderOnAFullDiskIsInitializedOnceThereIsSpace() throws ServiceException {
        harness.disk().setFull(true);
        RingWriteAheadLog wal = open(RING_FILE_BYTES);
        append(wal, WalRecord.Kind.SNAPSHOT, 1, 100);
        sim.run(Duration.ofSeconds(5));
        assertEquals(List.of(), confirmed);
        harness.disk().setFull(false);
        sim.run(Duration.ofMillis(500));
        assertEquals(List.of(1L), confirmed);
        assertEquals(List.of(), failures);
    }

    @Test
    void reportsNearlyFullOnlyWhileManyRecordsArePending() throws ServiceException {
        RingWriteAheadLog wal = open(LARGE_RING_FILE_BYTES);
        harness.disk().setFull(true);
        for (long i = 1; i <= 20; i++) {
            append(wal, WalRecord.Kind.ENTRY, i, 200_000);
        }
        sim.run(Duration.ofSeconds(1));
        assertTrue(wal.nearlyFull());
        harness.disk().setFull(false);
        sim.run(Duration.ofSeconds(1));
        assertFalse(wal.nearlyFull());
        assertEquals(20, confirmed.size());
    }

    /** Records replaced by a later snapshot are not kept in memory, but their callbacks still run. */
    @Test
    void pendingSnapshotsReplaceEarlierPendingRecords() throws ServiceException {
        RingWriteAheadLog wal = open(LARGE_RING_FILE_BYTES);
        harness.disk().setFull(true);
        append(wal, WalRecord.Kind.ENTRY, 1, 100);
        sim.run(Duration.ofMillis(20));
        for (long i = 2; i <= 40; i++) {
            append(wal, i % 10 == 0 ? WalRecord.Kind.SNAPSHOT : WalRecord.Kind.ENTRY, i, 200_000);
        }
        harness.disk().setFull(false);
        sim.run(Duration.ofSeconds(1));
        assertEquals(40, confirmed.size());
        harness.powerLoss();
        assertEquals(List.of(40L), recovered(open(LARGE_RING_FILE_BYTES)));
    }
}

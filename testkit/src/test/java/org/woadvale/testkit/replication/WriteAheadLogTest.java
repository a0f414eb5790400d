package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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

class WriteAheadLogTest {
    private static final int FILES = 4;
    private static final int RING_FILE_BYTES = 4096;
    private Simulator sim;
    private Harness harness;

    private RingWriteAheadLog open(long seed) throws ServiceException {
        sim = new Simulator(seed);
        harness = new Harness("a:1", sim, new SimNet(sim));
        return reopen();
    }

    private RingWriteAheadLog reopen() throws ServiceException {
        harness.boot(new RpcRouter());
        return RingWriteAheadLog.open(harness.disk(), harness.host(), FILES, RING_FILE_BYTES);
    }

    private static WalRecord entry(String partition, long index, int size) {
        return new WalRecord(partition, WalRecord.Kind.ENTRY, index, 1, new byte[size]);
    }

    private static WalRecord snapshot(String partition, long index) {
        return new WalRecord(partition, WalRecord.Kind.SNAPSHOT, index, 1, new byte[10]);
    }

    /**
     * Guards against a process that ends when its ring is full, and a ring that cannot be opened again (review/1):
     * records without space wait, and confirmed records are recovered each time the ring is opened.
     */
    @Test
    void fullRingStopsConfirmingAndReopensWithAllConfirmedRecords() throws ServiceException {
        RingWriteAheadLog log = open(5);
        List<String> failed = new ArrayList<>();
        log.onFailure(failed::add);
        List<Long> confirmed = new ArrayList<>();
        for (long i = 1; i <= 1000; i++) {
            long index = i;
            log.append(List.of(entry("m1", i, 200)), () -> confirmed.add(index));
            sim.run(Duration.ofMillis(10));
        }
        assertTrue(confirmed.size() > 20 && confirmed.size() < 70, "confirmed " + confirmed.size());
        for (int i = 0; i < 3; i++) {
            harness.powerLoss();
            log = reopen();
            log.onFailure(failed::add);
            assertEquals(
                    confirmed,
                    log.recovered().get("m1").stream().map(WalRecord::index).toList());
        }
        assertEquals(List.of(), failed);
        RingWriteAheadLog reopened = log;
        reopened.append(List.of(snapshot("m1", confirmed.size())), () -> {});
        sim.run(Duration.ofMillis(20));
        reopened.append(List.of(entry("m1", 1001, 200)), () -> confirmed.add(1001L));
        sim.run(Duration.ofMillis(20));
        assertTrue(confirmed.contains(1001L), "the snapshot has freed the ring");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void confirmedRecordsSurvivePowerLoss(long seed) throws ServiceException {
        RingWriteAheadLog log = open(seed);
        List<Long> confirmed = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            long first = round * 10L + 1;
            for (long i = first; i < first + 10; i++) {
                long index = i;
                log.append(List.of(entry("m1", i, 100)), () -> confirmed.add(index));
                sim.run(Duration.ofMillis(1));
            }
            harness.powerLoss();
            log = reopen();
            List<Long> kept = log.recovered().getOrDefault("m1", List.of()).stream()
                    .map(WalRecord::index)
                    .toList();
            assertTrue(kept.containsAll(confirmed), "confirmed " + confirmed + " kept " + kept);
            assertEquals(kept.stream().distinct().toList(), kept, "nothing may be read twice");
        }
        assertFalse(confirmed.isEmpty());
    }

    @Test
    void ringIsReclaimedBehindSnapshots() throws ServiceException {
        RingWriteAheadLog log = open(9);
        boolean[] failed = {false};
        log.onFailure(reason -> failed[0] = true);
        long[] index = {0};
        RingWriteAheadLog wal = log;
        log.onSnapshotNeeded("m1", () -> wal.append(List.of(snapshot("m1", index[0])), () -> {}));
        for (int i = 0; i < 300; i++) {
            log.append(List.of(entry("m1", ++index[0], 200)), () -> {});
            sim.run(Duration.ofMillis(20));
        }
        assertFalse(failed[0]);
        harness.powerLoss();
        assertEquals(
                300,
                reopen().recovered().get("m1").stream()
                        .mapToLong(WalRecord::index)
                        .max()
                        .orElse(0));
    }

    /**
     * Guards against requesting a snapshot after each sync until it is written: there were 53 requests for 30 files,
     * and the snapshots filled the ring.
     */
    @Test
    void partitionIsAskedForASnapshotOnce() throws ServiceException {
        RingWriteAheadLog log = open(13);
        List<String> failed = new ArrayList<>();
        log.onFailure(failed::add);
        int[] requests = {0};
        log.onSnapshotNeeded("m1", () -> {
            requests[0]++;
            sim.after(
                    Duration.ofMillis(60),
                    () -> log.append(
                            List.of(new WalRecord("m1", WalRecord.Kind.SNAPSHOT, 1, 1, new byte[900])), () -> {}));
        });
        for (int i = 1; i < 600; i++) {
            log.append(List.of(entry("m1", i, 60)), () -> {});
            sim.run(Duration.ofMillis(10));
        }
        assertEquals(List.of(), failed);
        assertTrue(
                log.filesWritten() > 12 && requests[0] < log.filesWritten(),
                requests[0] + " snapshots requested, " + log.filesWritten() + " files written");
    }

    @Test
    void nearlyFullIsReportedBeforeRecordsWait() throws ServiceException {
        RingWriteAheadLog log = open(10);
        List<String> failed = new ArrayList<>();
        log.onFailure(failed::add);
        long[] confirmed = {0};
        long warnedAt = 0;
        long appended = 0;
        while (confirmed[0] == appended && appended < 200) {
            warnedAt = warnedAt == 0 && log.nearlyFull() ? appended : warnedAt;
            log.append(List.of(entry("m1", ++appended, 200)), () -> confirmed[0]++);
            sim.run(Duration.ofMillis(20));
        }
        assertTrue(appended < 200, "no snapshot is written, so records must wait");
        assertTrue(warnedAt > 0 && warnedAt + 10 < appended, "warned at " + warnedAt + ", full at " + appended);
        assertEquals(List.of(), failed);
    }

    /** Snapshots that free the oldest file have space, in whatever order and at whatever time they are written. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25, 26})
    void snapshotsAlwaysHaveRoom(long seed) throws ServiceException {
        RingWriteAheadLog log = open(seed);
        List<String> failed = new ArrayList<>();
        log.onFailure(failed::add);
        int[] confirmed = {0};
        RingWriteAheadLog wal = log;
        for (String partition : List.of("m1", "m2", "m3", "m4")) {
            log.expectSnapshotBytes(partition, 1500);
            log.onSnapshotNeeded(
                    partition,
                    () -> sim.after(
                            Duration.ofMillis(sim.random().nextInt(30)),
                            () -> wal.append(
                                    List.of(new WalRecord(partition, WalRecord.Kind.SNAPSHOT, 1, 1, new byte[1400])),
                                    () -> {})));
        }
        for (int i = 1; i <= 400; i++) {
            String partition = "m" + (1 + sim.random().nextInt(4));
            log.append(List.of(entry(partition, i, sim.random().nextInt(300))), () -> confirmed[0]++);
            sim.run(Duration.ofMillis(5));
        }
        sim.run(Duration.ofSeconds(1));
        assertEquals(List.of(), failed);
        assertEquals(400, confirmed[0]);
        harness.powerLoss();
        assertEquals(4, reopen().recovered().size());
    }

    @Test
    void damageBeforeTheTailDiscardsTheFolder() throws ServiceException {
        RingWriteAheadLog log = open(11);
        for (int i = 1; i <= 10; i++) {
            log.append(List.of(entry("m1", i, 100)), () -> {});
            sim.run(Duration.ofMillis(20));
        }
        harness.kill();
        harness.disk().damage("ring-00", 300);
        assertEquals(0, reopen().recovered().size());
    }

    @Test
    void tornTailIsTruncatedAndLeftoversAreNeverRead() throws ServiceException {
        RingWriteAheadLog first = open(12);
        first.append(List.of(entry("m1", 1, 100)), () -> {});
        sim.run(Duration.ofMillis(20));
        harness.kill();
        RingWriteAheadLog reopened = reopen();
        reopened.append(List.of(entry("m1", 2, 50), entry("m1", 3, 50)), () -> {});
        sim.run(Duration.ofMillis(20));
        harness.kill();
        harness.disk().damage("ring-00", 200);
        RingWriteAheadLog log = reopen();
        assertEquals(
                List.of(1L),
                log.recovered().get("m1").stream().map(WalRecord::index).toList());
        log.append(List.of(entry("m1", 9, 50)), () -> {});
        sim.run(Duration.ofMillis(20));
        harness.kill();
        assertEquals(
                List.of(1L, 9L),
                reopen().recovered().get("m1").stream().map(WalRecord::index).toList());
    }
}

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
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.common.wal.WalRecord;
import org.woadvale.testkit.simulation.Harness;
import org.woadvale.testkit.simulation.Sim;
import org.woadvale.testkit.simulation.SimNet;

class WriteAheadLogTest {
    private static final int FILES = 4;
    private static final int SIZE = 4096;
    private Sim sim;
    private Harness h;

    private RingWriteAheadLog open(long seed) throws ServiceException {
        sim = new Sim(seed);
        h = new Harness("a:1", sim, new SimNet(sim));
        return reopen();
    }

    private RingWriteAheadLog reopen() throws ServiceException {
        h.boot(new RpcRouter());
        return RingWriteAheadLog.open(h.disk(), h.host(), FILES, SIZE);
    }

    private static WalRecord entry(String part, long index, int size) {
        return new WalRecord(part, WalRecord.Kind.ENTRY, index, 1, new byte[size]);
    }

    private static WalRecord base(String part, long index) {
        return new WalRecord(part, WalRecord.Kind.SNAPSHOT, index, 1, new byte[10]);
    }

    /** It was opened, and the oldest file zeroed though it was needed: every other reopening lost entries. */
    @Test
    void fullRingIsNotOpenedOverWhatIsNeeded() throws ServiceException {
        RingWriteAheadLog b = open(5);
        boolean[] stopped = {false};
        b.onFailure(why -> stopped[0] = true);
        for (long i = 1; !stopped[0] && i < 1000; i++) {
            b.append(List.of(entry("m1", i, 200)), () -> {});
            sim.run(Duration.ofMillis(10));
        }
        assertTrue(stopped[0], "nobody gives a base, so the ring must fill");
        for (int i = 0; i < 2; i++) {
            ServiceException f = org.junit.jupiter.api.Assertions.assertThrows(ServiceException.class, this::reopen);
            assertTrue(f.getMessage().contains("the ring is full"), f.getMessage());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void whatWasConfirmedSurvivesPowerLoss(long seed) throws ServiceException {
        RingWriteAheadLog b = open(seed);
        List<Long> confirmed = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            long first = round * 10L + 1;
            for (long i = first; i < first + 10; i++) {
                long index = i;
                b.append(List.of(entry("m1", i, 100)), () -> confirmed.add(index));
                sim.run(Duration.ofMillis(1));
            }
            h.powerLoss();
            b = reopen();
            List<Long> kept = b.recovered().getOrDefault("m1", List.of()).stream()
                    .map(WalRecord::index)
                    .toList();
            assertTrue(kept.containsAll(confirmed), "confirmed " + confirmed + " kept " + kept);
            assertEquals(kept.stream().distinct().toList(), kept, "nothing may be read twice");
        }
        assertFalse(confirmed.isEmpty());
    }

    @Test
    void ringIsReclaimedBehindBases() throws ServiceException {
        RingWriteAheadLog b = open(9);
        boolean[] failed = {false};
        b.onFailure(why -> failed[0] = true);
        long[] index = {0};
        RingWriteAheadLog book = b;
        b.onSpaceNeeded("m1", () -> book.append(List.of(base("m1", index[0])), () -> {}));
        for (int i = 0; i < 300; i++) {
            b.append(List.of(entry("m1", ++index[0], 200)), () -> {});
            sim.run(Duration.ofMillis(20));
        }
        assertFalse(failed[0]);
        h.powerLoss();
        assertEquals(
                300,
                reopen().recovered().get("m1").stream()
                        .mapToLong(WalRecord::index)
                        .max()
                        .orElse(0));
    }

    /** Before: asked after each sync until the base was there, 53 times for 30 files, and the bases filled the ring. */
    @Test
    void partIsAskedForABaseOnce() throws ServiceException {
        RingWriteAheadLog b = open(13);
        List<String> failed = new ArrayList<>();
        b.onFailure(failed::add);
        int[] asked = {0};
        b.onSpaceNeeded("m1", () -> {
            asked[0]++;
            sim.after(
                    Duration.ofMillis(60),
                    () -> b.append(
                            List.of(new WalRecord("m1", WalRecord.Kind.SNAPSHOT, 1, 1, new byte[900])), () -> {}));
        });
        for (int i = 1; i < 600; i++) {
            b.append(List.of(entry("m1", i, 60)), () -> {});
            sim.run(Duration.ofMillis(10));
        }
        assertEquals(List.of(), failed);
        assertTrue(
                b.filesWritten() > 12 && asked[0] < b.filesWritten(),
                asked[0] + " bases asked for, " + b.filesWritten() + " files written");
    }

    @Test
    void fullRingSaysSoBeforeItFails() throws ServiceException {
        RingWriteAheadLog b = open(10);
        List<String> failed = new ArrayList<>();
        b.onFailure(failed::add);
        boolean warned = false;
        for (int i = 1; i < 200 && failed.isEmpty(); i++) {
            warned |= b.nearlyFull();
            b.append(List.of(entry("m1", i, 200)), () -> {});
            sim.run(Duration.ofMillis(20));
        }
        assertTrue(warned, "nearlyFull must come before the failure");
        assertEquals(List.of("the ring is full"), failed);
    }

    @Test
    void damageBeforeTheTailCondemnsTheFolder() throws ServiceException {
        RingWriteAheadLog b = open(11);
        for (int i = 1; i <= 10; i++) {
            b.append(List.of(entry("m1", i, 100)), () -> {});
            sim.run(Duration.ofMillis(20));
        }
        h.kill();
        h.disk().damage("ring-00", 300);
        assertEquals(0, reopen().recovered().size());
    }

    @Test
    void tornTailIsCutAndLeftoversAreNeverRead() throws ServiceException {
        RingWriteAheadLog b = open(12);
        b.append(List.of(entry("m1", 1, 100)), () -> {});
        sim.run(Duration.ofMillis(20));
        h.kill();
        RingWriteAheadLog c = reopen();
        c.append(List.of(entry("m1", 2, 50), entry("m1", 3, 50)), () -> {});
        sim.run(Duration.ofMillis(20));
        h.kill();
        h.disk().damage("ring-00", 200);
        RingWriteAheadLog d = reopen();
        assertEquals(
                List.of(1L),
                d.recovered().get("m1").stream().map(WalRecord::index).toList());
        d.append(List.of(entry("m1", 9, 50)), () -> {});
        sim.run(Duration.ofMillis(20));
        h.kill();
        assertEquals(
                List.of(1L, 9L),
                reopen().recovered().get("m1").stream().map(WalRecord::index).toList());
    }
}

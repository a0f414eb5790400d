package org.woadvale.common.wal;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.runtime.Timers;

/**
 * A ring of preallocated files; one sync serves everything that waited. Why it loses nothing: docs/design.md, section
 * 4.
 */
public final class RingWriteAheadLog implements WriteAheadLog {
    private static final Logger LOG = LogManager.getLogger(RingWriteAheadLog.class);
    /** How long after a write that found the disk full it is tried again. */
    private static final Duration FULL_DISK_RETRY = Duration.ofMillis(100);
    /** This part of the files is kept for outcomes, votes and members, beside what snapshots need. */
    private static final int SPARE_FRACTION = 8;
    /** What a record and the end of a segment take beside the bytes of the record. */
    private static final int RECORD_OVERHEAD_BYTES = 256;

    /** New work is refused while so many bytes of log entries wait for the disk. */
    private static final long MAX_WAITING_BYTES = 2L << 20;

    private final Timers timers;
    private final int fileSize;
    private final int files;
    private final Map<String, List<WalRecord>> recovered;
    private final RingWriter writer;
    private final Map<String, Runnable> pressure = new ConcurrentHashMap<>();
    private final PendingWrites pending = new PendingWrites();
    private final Map<String, Long> expectedSnapshotBytes = new ConcurrentHashMap<>();
    private Consumer<String> failure = reason -> {};
    private boolean flushing;
    private boolean failed;
    private boolean diskFull;
    /** Records wait for room in the ring. */
    private boolean ringFull;
    /** Since the last look at what waits for room something was written or appended. */
    private boolean mayHaveRoom;

    private long bytesBeingWritten;
    private volatile boolean ringNearlyFull;
    /** Free files that are kept for the snapshots that free the oldest ones; used by one thread at a time. */
    private volatile int reservedFiles;
    /** New snapshots of all partitions would take fewer files than are in use; used by one thread at a time. */
    private volatile boolean snapshotsFreeFiles;

    private RingWriteAheadLog(Disk disk, Timers timers, int files, int fileSize)
            throws IOException, RecordFormat.NewerFormatException {
        this.timers = timers;
        this.files = files;
        this.fileSize = fileSize;
        List<Disk.DiskFile> leaves = openAll(disk);
        Recovery found;
        try {
            found = Recovery.run(leaves);
        } catch (Recovery.DamagedLogException e) {
            LOG.error("The data folder is damaged ({}); it is set aside and the replica starts empty.", e.getMessage());
            disk.setAside();
            leaves = openAll(disk);
            found = new Recovery();
        }
        recovered = found.recordsByPartition;
        writer = new RingWriter(disk, leaves, fileSize, found);
        if (writer.full()) {
            // the file that comes next still holds what is needed: nothing may be written over it. (docs/design.md,
            // section 4.1)
            throw new IOException("the ring is full, and no file can be freed; repair this copy from the others");
        }
        measureSpace();
    }

    private List<Disk.DiskFile> openAll(Disk disk) throws IOException {
        long present =
                disk.list().stream().filter(name -> name.startsWith("ring-")).count();
        if (present > 0 && present < files) {
            LOG.warn("Some ring files are missing and are created anew.");
        }
        List<Disk.DiskFile> opened = new ArrayList<>();
        for (int i = 0; i < files; i++) {
            opened.add(disk.open(String.format("ring-%02d", i), fileSize));
        }
        return opened;
    }

    /** Opens the ring of a folder, and recovers what it holds; a damaged one is set aside. */
    public static RingWriteAheadLog open(Disk disk, Timers timers, int files, int size) throws ServiceException {
        try {
            return new RingWriteAheadLog(disk, timers, files, size);
        } catch (RecordFormat.NewerFormatException e) {
            throw new UnavailableException("The data folder was " + e.getMessage() + ".");
        } catch (IOException e) {
            throw new UnavailableException("Cannot open the data folder: " + e.getMessage());
        }
    }

    @Override
    public Map<String, List<WalRecord>> recovered() {
        return recovered;
    }

    @Override
    public synchronized void append(List<WalRecord> entries, Runnable done) {
        if (failed) {
            return;
        }
        pending.add(new PendingWrites.PendingAppend(entries, done));
        mayHaveRoom = true;
        flushSoon();
    }

    private synchronized void flushSoon() {
        if (!flushing && !failed && !pending.isEmpty()) {
            flushing = true;
            timers.executeDiskTask(this::flush);
        }
    }

    private void flush() {
        List<PendingWrites.PendingAppend> batch;
        synchronized (this) {
            if (ringFull) {
                measureSpace();
            }
            bytesBeingWritten = pending.entryBytes();
            BatchSelection selection = BatchSelection.of(pending.takeAll(), writer, reservedFiles);
            pending.putBack(selection.deferred());
            noteDeferred(selection);
            batch = selection.writable();
            mayHaveRoom = !batch.isEmpty();
        }
        write(batch);
    }

    private void noteDeferred(BatchSelection selection) {
        boolean waits = !selection.deferred().isEmpty();
        if (waits && !ringFull) {
            LOG.debug("The ring has room for snapshots only; other records wait until these have freed a file.");
        } else if (!waits && ringFull) {
            LOG.debug("The ring has room again.");
        }
        ringFull = waits;
    }

    private void write(List<PendingWrites.PendingAppend> batch) {
        try {
            if (!batch.isEmpty()) {
                writer.write(batch);
            }
        } catch (DiskFullException e) {
            retryLater(batch, e.getMessage());
            return;
        } catch (IOException e) {
            fail(e.getMessage());
            return;
        }
        batch.forEach(group -> timers.execute(group.done()));
        measureSpace();
        requestSnapshots();
        written();
    }

    /**
     * A full disk ends nothing: what waits is neither confirmed nor lost until there is room again. (docs/design.md,
     * section 4.4)
     */
    private synchronized void retryLater(List<PendingWrites.PendingAppend> batch, String reason) {
        if (!diskFull) {
            LOG.error("The disk is full ({}); nothing is acknowledged until it accepts writes again.", reason);
        }
        diskFull = true;
        timers.after(FULL_DISK_RETRY, () -> timers.executeDiskTask(() -> write(batch)));
    }

    private synchronized void written() {
        if (diskFull) {
            LOG.info("The disk accepts writes again.");
        }
        diskFull = false;
        bytesBeingWritten = 0;
        flushing = false;
        if (!ringFull || mayHaveRoom) {
            flushSoon();
        }
    }

    private synchronized void fail(String reason) {
        failed = true;
        LOG.error("The disk failed: {}.", reason);
        failure.accept(reason);
    }

    private void measureSpace() {
        List<RingReserve.Holding> holdings = writer.retention().holdings(expectedSnapshotBytes, largestRecordBytes());
        reservedFiles = RingReserve.files(holdings, largestRecordBytes());
        snapshotsFreeFiles = writer.segmentsInUse() > RingReserve.filesOf(holdings, largestRecordBytes()) + 1;
        ringNearlyFull = writer.freeFiles() <= filesKept();
    }

    /** Free files that new work may not take. */
    private int filesKept() {
        return reservedFiles + Math.max(1, files / SPARE_FRACTION);
    }

    /** Asks the partitions that hold back the oldest files for new snapshots, unless the ring holds little else. */
    private void requestSnapshots() {
        int free = writer.freeFiles();
        boolean spaceNeeded = free < files / 2 || free <= filesKept();
        if (spaceNeeded && (snapshotsFreeFiles || ringFull)) {
            writer.retention()
                    .partitionsToSnapshot(writer.segment())
                    .forEach(partition -> timers.execute(pressure.getOrDefault(partition, () -> {})));
        }
    }

    @Override
    public void onSpaceNeeded(String partition, Runnable giveBase) {
        pressure.put(partition, giveBase);
    }

    @Override
    public void expectSnapshotBytes(String partition, long bytes) {
        Long before = expectedSnapshotBytes.put(partition, bytes);
        if (before == null || bytes < before) {
            // what waits for room in the ring may have it now
            flushSoon();
        }
    }

    @Override
    public boolean nearlyFull() {
        return ringNearlyFull || waitingBytes() > MAX_WAITING_BYTES;
    }

    private synchronized long waitingBytes() {
        return bytesBeingWritten + pending.entryBytes();
    }

    @Override
    public synchronized void onFailure(Consumer<String> reason) {
        failure = reason;
    }

    @Override
    public long syncs() {
        return writer.syncs();
    }

    @Override
    public long filesWritten() {
        return writer.segment() + 1;
    }

    @Override
    public int largestRecordBytes() {
        return fileSize - RECORD_OVERHEAD_BYTES;
    }
}

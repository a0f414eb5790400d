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
 * A write-ahead log in a ring of preallocated files with group commit: one sync makes all pending records durable.
 * docs/design.md, section 4, explains why it loses nothing.
 */
public final class RingWriteAheadLog implements WriteAheadLog {
    private static final Logger LOG = LogManager.getLogger(RingWriteAheadLog.class);
    /** Delay after which a write that found the disk full is retried. */
    private static final Duration FULL_DISK_RETRY_DELAY = Duration.ofMillis(100);
    /**
     * One file in this many is reserved for outcomes, votes and membership changes, in addition to the reserve for
     * snapshots.
     */
    private static final int SPARE_FILES_DIVISOR = 8;
    /** Space for the header of a record and the end of a segment, in addition to the payload of the record. */
    private static final int RECORD_OVERHEAD_BYTES = 256;

    /** New work is rejected while more bytes of log entries than this wait to be written. */
    private static final long MAX_PENDING_BYTES = 2L << 20;

    private final Timers timers;
    private final int fileSize;
    private final int fileCount;
    private final Map<String, List<WalRecord>> recovered;
    private final RingWriter writer;
    private final Map<String, Runnable> snapshotHandlers = new ConcurrentHashMap<>();
    private final PendingWrites pending = new PendingWrites();
    private final Map<String, Long> expectedSnapshotBytes = new ConcurrentHashMap<>();
    private Consumer<String> failureHandler = reason -> {};
    private boolean flushing;
    private boolean failed;
    private boolean diskFull;
    /** Whether records wait for space in the ring. */
    private boolean ringFull;
    /** Whether anything was written or appended since the waiting records were last checked for space. */
    private boolean mayHaveRoom;

    private long bytesBeingWritten;
    private volatile boolean ringNearlyFull;
    /** Free files that are reserved for the snapshots that free the oldest ones; used by one thread at a time. */
    private volatile int reservedFiles;
    /** Whether new snapshots of all partitions would take fewer files than are in use; used by one thread at a time. */
    private volatile boolean snapshotsFreeFiles;

    private RingWriteAheadLog(Disk disk, Timers timers, int fileCount, int fileSize)
            throws IOException, RecordFormat.NewerFormatException {
        this.timers = timers;
        this.fileCount = fileCount;
        this.fileSize = fileSize;
        List<Disk.DiskFile> files = openAll(disk);
        Recovery recovery;
        try {
            recovery = Recovery.run(files);
        } catch (Recovery.DamagedLogException e) {
            LOG.error("The data folder is damaged ({}); it is set aside and the replica starts empty.", e.getMessage());
            disk.setAside();
            files = openAll(disk);
            recovery = new Recovery();
        }
        recovered = recovery.recordsByPartition;
        writer = new RingWriter(disk, files, fileSize, recovery);
        if (writer.isFull()) {
            // the file to be written still holds records that are needed and must not be overwritten (docs/design.md,
            // section 4.1)
            throw new IOException("the ring is full, and no file can be freed; repair this copy from the others");
        }
        updateSpace();
    }

    private List<Disk.DiskFile> openAll(Disk disk) throws IOException {
        long existing =
                disk.list().stream().filter(name -> name.startsWith("ring-")).count();
        if (existing > 0 && existing < fileCount) {
            LOG.warn("Some ring files are missing and will be recreated.");
        }
        List<Disk.DiskFile> opened = new ArrayList<>();
        for (int i = 0; i < fileCount; i++) {
            opened.add(disk.open(String.format("ring-%02d", i), fileSize));
        }
        return opened;
    }

    /** Opens the ring of a data folder and recovers its records; a damaged folder is set aside. */
    public static RingWriteAheadLog open(Disk disk, Timers timers, int fileCount, int fileSize)
            throws ServiceException {
        try {
            return new RingWriteAheadLog(disk, timers, fileCount, fileSize);
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
    public synchronized void append(List<WalRecord> records, Runnable onSynced) {
        if (failed) {
            return;
        }
        pending.add(new PendingWrites.PendingAppend(records, onSynced));
        mayHaveRoom = true;
        scheduleFlush();
    }

    private synchronized void scheduleFlush() {
        if (!flushing && !failed && !pending.isEmpty()) {
            flushing = true;
            timers.executeDiskTask(this::flush);
        }
    }

    private void flush() {
        List<PendingWrites.PendingAppend> batch;
        synchronized (this) {
            if (ringFull) {
                updateSpace();
            }
            bytesBeingWritten = pending.entryBytes();
            BatchSelection selection = BatchSelection.of(pending.drain(), writer, reservedFiles);
            pending.requeue(selection.deferred());
            updateRingFull(selection);
            batch = selection.writable();
            mayHaveRoom = !batch.isEmpty();
        }
        write(batch);
    }

    private void updateRingFull(BatchSelection selection) {
        boolean waiting = !selection.deferred().isEmpty();
        if (waiting && !ringFull) {
            LOG.debug("The ring has room for snapshots only; other records wait until these have freed a file.");
        } else if (!waiting && ringFull) {
            LOG.debug("The ring has room again.");
        }
        ringFull = waiting;
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
        batch.forEach(append -> timers.execute(append.onSynced()));
        updateSpace();
        requestSnapshots();
        onWritten();
    }

    /**
     * A full disk is not fatal: pending records are neither acknowledged nor lost, and the write is retried until there
     * is space again (docs/design.md, section 4.4).
     */
    private synchronized void retryLater(List<PendingWrites.PendingAppend> batch, String reason) {
        if (!diskFull) {
            LOG.error("The disk is full ({}); nothing is acknowledged until it accepts writes again.", reason);
        }
        diskFull = true;
        timers.after(FULL_DISK_RETRY_DELAY, () -> timers.executeDiskTask(() -> write(batch)));
    }

    private synchronized void onWritten() {
        if (diskFull) {
            LOG.info("The disk accepts writes again.");
        }
        diskFull = false;
        bytesBeingWritten = 0;
        flushing = false;
        if (!ringFull || mayHaveRoom) {
            scheduleFlush();
        }
    }

    private synchronized void fail(String reason) {
        failed = true;
        LOG.error("The disk failed: {}.", reason);
        failureHandler.accept(reason);
    }

    private void updateSpace() {
        List<RingReserve.PartitionUsage> usages =
                writer.retention().usages(expectedSnapshotBytes, largestRecordBytes());
        reservedFiles = RingReserve.requiredFreeFiles(usages, largestRecordBytes());
        snapshotsFreeFiles = writer.segmentsInUse() > RingReserve.filesForSnapshots(usages, largestRecordBytes()) + 1;
        ringNearlyFull = writer.freeFiles() <= filesReservedFromNewWork();
    }

    /** The number of free files that are not available to new work. */
    private int filesReservedFromNewWork() {
        return reservedFiles + Math.max(1, fileCount / SPARE_FILES_DIVISOR);
    }

    /**
     * Asks the partitions that retain the oldest files for new snapshots, unless that would free no file and no records
     * wait for space.
     */
    private void requestSnapshots() {
        int free = writer.freeFiles();
        boolean spaceNeeded = free < fileCount / 2 || free <= filesReservedFromNewWork();
        if (spaceNeeded && (snapshotsFreeFiles || ringFull)) {
            writer.retention()
                    .partitionsToSnapshot(writer.segment())
                    .forEach(partition -> timers.execute(snapshotHandlers.getOrDefault(partition, () -> {})));
        }
    }

    @Override
    public void onSnapshotNeeded(String partition, Runnable takeSnapshot) {
        snapshotHandlers.put(partition, takeSnapshot);
    }

    @Override
    public void expectSnapshotBytes(String partition, long bytes) {
        Long previous = expectedSnapshotBytes.put(partition, bytes);
        if (previous == null || bytes < previous) {
            // waiting records may fit into the ring now
            scheduleFlush();
        }
    }

    @Override
    public boolean nearlyFull() {
        return ringNearlyFull || pendingBytes() > MAX_PENDING_BYTES;
    }

    private synchronized long pendingBytes() {
        return bytesBeingWritten + pending.entryBytes();
    }

    @Override
    public synchronized void onFailure(Consumer<String> handler) {
        failureHandler = handler;
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

package org.woadvale.common.wal;

import java.io.IOException;
import java.util.List;

/** Writes batches of records into the files of a ring. Used by one thread at a time. */
final class RingWriter {
    private final Disk disk;
    private final List<Disk.DiskFile> files;
    private final int fileSize;
    private final WriteBatch batchBuffer = new WriteBatch();
    private RingRetention retention;
    private volatile long segment;
    private int position;
    private long batch;
    private boolean prepared;
    private volatile long syncs;

    RingWriter(Disk disk, List<Disk.DiskFile> files, int fileSize, Recovery recovered) {
        this.disk = disk;
        this.files = files;
        this.fileSize = fileSize;
        this.retention = new RingRetention(recovered.oldestNeeded, recovered.bytesNeeded);
        this.segment = recovered.segment;
        this.position = recovered.pos;
        this.batch = recovered.batch;
    }

    long segment() {
        return segment;
    }

    long syncs() {
        return syncs;
    }

    RingRetention retention() {
        return retention;
    }

    /** Segments between the oldest that is needed and the one that is being written, both counted. */
    long segmentsInUse() {
        return segment - retention.oldest(segment) + 1;
    }

    /** Files that hold nothing that is needed, beside the one that is being written. */
    int freeFiles() {
        return (int) (files.size() - segmentsInUse());
    }

    /** True if the file that is to be written still holds what is needed. */
    boolean full() {
        return freeFiles() < 0;
    }

    boolean holdsOldest(String partition) {
        return retention.holdsOldest(partition, segment);
    }

    RingPosition nextPosition() {
        return new RingPosition(0, position, fileSize);
    }

    private Disk.DiskFile file() {
        return files.get((int) (segment % files.size()));
    }

    /**
     * Writes and syncs the records of the groups as one batch. If the disk is full, all is as it was before, and the
     * very same groups must be written next.
     */
    void write(List<PendingWrites.PendingAppend> groups) throws IOException {
        prepare();
        long segmentBefore = segment;
        int positionBefore = position;
        RingRetention retentionBefore = retention.copy();
        batch++;
        try {
            writeBatch(groups);
        } catch (DiskFullException e) {
            segment = segmentBefore;
            position = positionBefore;
            retention = retentionBefore;
            batch--;
            batchBuffer.clear();
            throw e;
        }
    }

    /** Allocates all files, and zeroes what a former incarnation left behind the last valid record. */
    private void prepare() throws IOException {
        if (prepared) {
            return;
        }
        try {
            allocate();
        } catch (DiskFullException e) {
            if (!disk.deleteSetAside()) {
                throw e;
            }
            allocate();
        }
        new ReadWindow(file()).blank(position);
        file().sync();
        prepared = true;
    }

    private void allocate() throws IOException {
        for (Disk.DiskFile each : files) {
            each.allocate();
        }
    }

    private void writeBatch(List<PendingWrites.PendingAppend> groups) throws IOException {
        boolean any = false;
        for (PendingWrites.PendingAppend group : groups) {
            for (WalRecord entry : group.entries()) {
                put(entry);
                any = true;
            }
        }
        if (any) {
            batchBuffer.flush(file(), position);
            sync();
        }
    }

    private void put(WalRecord entry) throws IOException {
        int need = RecordFormat.size(entry);
        if (need + RecordFormat.END_OF_SEGMENT_BYTES > fileSize) {
            throw new IOException("a record of " + need + " bytes is larger than a ring file");
        }
        if (!nextPosition().fits(need)) {
            endSegment();
        }
        byte[] head = RecordFormat.header(segment, batch, entry);
        batchBuffer.add(file(), position, head);
        batchBuffer.add(file(), position + head.length, entry.bytes());
        position += need;
        retention.written(entry, segment);
    }

    /** A segment ends only where the next file is free: a ring whose next file is needed could not be opened. */
    private void endSegment() throws IOException {
        if (freeFiles() < 1) {
            throw new IOException("the ring is full");
        }
        batchBuffer.add(file(), position, RecordFormat.endOfSegment(segment, batch));
        batchBuffer.flush(file(), position + RecordFormat.END_OF_SEGMENT_BYTES);
        sync();
        segment++;
        position = 0;
    }

    private void sync() throws IOException {
        file().sync();
        syncs++;
    }
}

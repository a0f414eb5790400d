package org.woadvale.common.wal;

import java.io.IOException;
import java.util.List;

/** Writes batches of records into the files of a ring. Used by one thread at a time. */
final class RingWriter {
    private final Disk disk;
    private final List<Disk.DiskFile> files;
    private final int fileSize;
    private final WriteBuffer buffer = new WriteBuffer();
    private RingRetention retention;
    private volatile long segment;
    private int position;
    private long batchNumber;
    private boolean prepared;
    private volatile long syncs;

    RingWriter(Disk disk, List<Disk.DiskFile> files, int fileSize, Recovery recovered) {
        this.disk = disk;
        this.files = files;
        this.fileSize = fileSize;
        this.retention = new RingRetention(recovered.oldestNeeded, recovered.bytesNeeded);
        this.segment = recovered.segment;
        this.position = recovered.position;
        this.batchNumber = recovered.lastBatch;
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

    /** The number of segments from the oldest one that is needed to the one that is being written, both included. */
    long segmentsInUse() {
        return segment - retention.oldestNeeded(segment) + 1;
    }

    /** The number of files that hold nothing that is needed, not counting the one that is being written. */
    int freeFiles() {
        return (int) (files.size() - segmentsInUse());
    }

    /** Whether the file to be written still holds records that are needed. */
    boolean isFull() {
        return freeFiles() < 0;
    }

    boolean retainsOldest(String partition) {
        return retention.retainsOldest(partition, segment);
    }

    RingPosition nextPosition() {
        return new RingPosition(0, position, fileSize);
    }

    private Disk.DiskFile file() {
        return files.get((int) (segment % files.size()));
    }

    /**
     * Writes and syncs the records of the appends as one batch. If the disk is full, the state is restored, and the
     * next call must be given the same appends.
     */
    void write(List<PendingWrites.PendingAppend> appends) throws IOException {
        prepare();
        long segmentBefore = segment;
        int positionBefore = position;
        RingRetention retentionBefore = retention.copy();
        batchNumber++;
        try {
            writeBatch(appends);
        } catch (DiskFullException e) {
            segment = segmentBefore;
            position = positionBefore;
            retention = retentionBefore;
            batchNumber--;
            buffer.clear();
            throw e;
        }
    }

    /** Allocates all files, and zeroes what an earlier process left behind the last valid record. */
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
        new ReadWindow(file()).zeroFrom(position);
        file().sync();
        prepared = true;
    }

    private void allocate() throws IOException {
        for (Disk.DiskFile file : files) {
            file.allocate();
        }
    }

    private void writeBatch(List<PendingWrites.PendingAppend> appends) throws IOException {
        boolean wroteAny = false;
        for (PendingWrites.PendingAppend append : appends) {
            for (WalRecord walRecord : append.records()) {
                append(walRecord);
                wroteAny = true;
            }
        }
        if (wroteAny) {
            buffer.flush(file(), position);
            sync();
        }
    }

    private void append(WalRecord walRecord) throws IOException {
        int size = RecordFormat.size(walRecord);
        if (size + RecordFormat.END_OF_SEGMENT_BYTES > fileSize) {
            throw new IOException("a record of " + size + " bytes is larger than a ring file");
        }
        if (!nextPosition().fits(size)) {
            endSegment();
        }
        byte[] header = RecordFormat.header(segment, batchNumber, walRecord);
        buffer.add(file(), position, header);
        buffer.add(file(), position + header.length, walRecord.bytes());
        position += size;
        retention.recordWritten(walRecord, segment);
    }

    /** Ends the segment only if the next file is free: a ring whose next file is still needed could not be reopened. */
    private void endSegment() throws IOException {
        if (freeFiles() < 1) {
            throw new IOException("the ring is full");
        }
        buffer.add(file(), position, RecordFormat.endOfSegment(segment, batchNumber));
        buffer.flush(file(), position + RecordFormat.END_OF_SEGMENT_BYTES);
        sync();
        segment++;
        position = 0;
    }

    private void sync() throws IOException {
        file().sync();
        syncs++;
    }
}

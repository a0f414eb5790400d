package org.woadvale.common.wal;

import java.io.IOException;
import java.util.List;

/** Writes batches of records into the files of a ring. Used by one thread at a time. */
final class RingWriter {
    private static final int ROLL_SIZE = RecordFormat.HEAD + 18;

    private final Disk disk;
    private final List<Disk.Leaf> files;
    private final int fileSize;
    private final WriteBatch gathered = new WriteBatch();
    private RingRetention retention;
    private volatile long segment;
    private int position;
    private long batch;
    private boolean prepared;
    private volatile long syncs;

    RingWriter(Disk disk, List<Disk.Leaf> files, int fileSize, Recovery recovered) {
        this.disk = disk;
        this.files = files;
        this.fileSize = fileSize;
        this.retention = new RingRetention(recovered.needs);
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

    /** True if the next file to be written still holds what is needed. */
    boolean full() {
        return segmentsInUse() > files.size();
    }

    private Disk.Leaf file() {
        return files.get((int) (segment % files.size()));
    }

    /**
     * Writes and syncs the records of the groups as one batch. If the disk is full, all is as it was before, and the
     * very same groups must be written next.
     */
    void write(List<PendingWrites.Group> groups) throws IOException {
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
            gathered.clear();
            throw e;
        }
    }

    /** Takes the space of all files, and zeroes what a former life left behind the last sound record. */
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
        for (Disk.Leaf each : files) {
            each.allocate();
        }
    }

    private void writeBatch(List<PendingWrites.Group> groups) throws IOException {
        boolean any = false;
        for (PendingWrites.Group group : groups) {
            for (Entry entry : group.entries()) {
                put(entry);
                any = true;
            }
        }
        if (any) {
            gathered.flush(file(), position);
            sync();
        }
    }

    private void put(Entry entry) throws IOException {
        int need = RecordFormat.size(entry);
        if (need + ROLL_SIZE > fileSize) {
            throw new IOException("a record of " + need + " bytes is larger than a ring file");
        }
        if (position + need + ROLL_SIZE > fileSize) {
            roll();
        }
        byte[] head = RecordFormat.head(segment, batch, entry);
        gathered.add(file(), position, head);
        gathered.add(file(), position + head.length, entry.bytes());
        position += need;
        retention.written(entry, segment);
    }

    private void roll() throws IOException {
        gathered.add(file(), position, RecordFormat.roll(segment, batch));
        gathered.flush(file(), position + ROLL_SIZE);
        sync();
        segment++;
        position = 0;
        if (full()) {
            throw new IOException("the ring is full");
        }
    }

    private void sync() throws IOException {
        file().sync();
        syncs++;
    }
}

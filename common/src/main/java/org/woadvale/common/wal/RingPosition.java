package org.woadvale.common.wal;

/**
 * Where the next record of a ring goes, counted from the file that is being written.
 *
 * @param files how many further files have been begun
 * @param offset the position in the file, in bytes
 * @param fileSize bytes of a file
 */
record RingPosition(int files, int offset, int fileSize) {
    /** Behind the records of a group; a record that does not fit into the rest of a file begins the next one. */
    RingPosition after(PendingWrites.PendingAppend group) {
        RingPosition position = this;
        for (WalRecord entry : group.entries()) {
            position = position.after(RecordFormat.size(entry));
        }
        return position;
    }

    private RingPosition after(int recordBytes) {
        return fits(recordBytes)
                ? new RingPosition(files, offset + recordBytes, fileSize)
                : new RingPosition(files + 1, recordBytes, fileSize);
    }

    /** Whether a record and the end of the segment fit into the rest of the file. */
    boolean fits(int recordBytes) {
        return offset + recordBytes + RecordFormat.END_OF_SEGMENT_BYTES <= fileSize;
    }
}

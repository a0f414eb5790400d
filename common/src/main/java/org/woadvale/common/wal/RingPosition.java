package org.woadvale.common.wal;

/**
 * Position of the next record in a ring, relative to the file that is being written.
 *
 * @param files number of further files begun
 * @param offset position in the file, in bytes
 * @param fileSize size of a file in bytes
 */
record RingPosition(int files, int offset, int fileSize) {
    /**
     * The position after the records of an append; a record that does not fit into the rest of a file begins the next
     * one.
     */
    RingPosition after(PendingWrites.PendingAppend append) {
        RingPosition position = this;
        for (WalRecord walRecord : append.records()) {
            position = position.after(RecordFormat.size(walRecord));
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

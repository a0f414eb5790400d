package org.woadvale.common.replication;

import java.util.zip.CRC32C;

/** The encoded snapshot of a partition up to an index, as it is sent to followers. */
record SnapshotContent(long index, long indexTerm, byte[] bytes, int checksum) {
    static SnapshotContent of(long index, long indexTerm, byte[] bytes) {
        return new SnapshotContent(index, indexTerm, bytes, checksum(bytes, bytes.length));
    }

    static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }
}

package org.woadvale.common.wal;

import java.io.IOException;

/**
 * Coalesces small records, so that a batch takes few writes and no buffer of its own size (docs/design.md, section
 * 4.2).
 */
final class WriteBuffer {
    private final byte[] bytes = new byte[Disk.CHUNK_BYTES];
    private int length;

    /** Adds bytes that follow those added before; an array larger than the buffer is written directly to the file. */
    void add(Disk.DiskFile file, long position, byte[] more) throws IOException {
        if (length + more.length > bytes.length) {
            flush(file, position);
        }
        if (more.length > bytes.length) {
            file.write(position, more, more.length);
        } else {
            System.arraycopy(more, 0, bytes, length, more.length);
            length += more.length;
        }
    }

    /** Writes the buffered bytes so that they end right before the position. */
    void flush(Disk.DiskFile file, long position) throws IOException {
        if (length > 0) {
            file.write(position - length, bytes, length);
            length = 0;
        }
    }

    /** Discards bytes that were added and not written. */
    void clear() {
        length = 0;
    }
}

package org.woadvale.common.wal;

import java.io.IOException;

/**
 * Puts small records together, so that a batch costs few writes and no memory of its own size. (docs/design.md, section
 * 4.2)
 */
final class WriteBatch {
    private final byte[] bytes = new byte[Disk.CHUNK_BYTES];
    private int length;

    /** Bytes that follow those before; large ones go straight to the file. */
    void add(Disk.DiskFile leaf, long pos, byte[] more) throws IOException {
        if (length + more.length > bytes.length) {
            flush(leaf, pos);
        }
        if (more.length > bytes.length) {
            leaf.write(pos, more, more.length);
        } else {
            System.arraycopy(more, 0, bytes, length, more.length);
            length += more.length;
        }
    }

    /** All that is buffered ends right before the position. */
    void flush(Disk.DiskFile leaf, long pos) throws IOException {
        if (length > 0) {
            leaf.write(pos - length, bytes, length);
            length = 0;
        }
    }

    /** Forgets what was added and not written. */
    void clear() {
        length = 0;
    }
}

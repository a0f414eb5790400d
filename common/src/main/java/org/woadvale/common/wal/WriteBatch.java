package org.woadvale.common.wal;

import java.io.IOException;

/** Puts small records together, so that a batch costs few writes and no memory of its own size. design 4.2 */
final class WriteBatch {
    private final byte[] bytes = new byte[Disk.CHUNK];
    private int held;

    /** Bytes that follow those before; large ones go straight to the file. */
    void add(Disk.Leaf leaf, long pos, byte[] more) throws IOException {
        if (held + more.length > bytes.length) {
            flush(leaf, pos);
        }
        if (more.length > bytes.length) {
            leaf.write(pos, more, more.length);
        } else {
            System.arraycopy(more, 0, bytes, held, more.length);
            held += more.length;
        }
    }

    /** All that is held ends right before the place. */
    void flush(Disk.Leaf leaf, long pos) throws IOException {
        if (held > 0) {
            leaf.write(pos - held, bytes, held);
            held = 0;
        }
    }

    /** Forgets what was added and not written. */
    void clear() {
        held = 0;
    }
}

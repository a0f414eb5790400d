package org.woadvale.common.wal;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A moving piece of one file: recovery holds no more than the record it looks at. (docs/design.md, section 4.3) */
final class ReadWindow {
    private final Disk.DiskFile file;
    private final int size;
    private byte[] bytes = new byte[Disk.CHUNK_BYTES];
    private int from;
    private int bufferedBytes;

    ReadWindow(Disk.DiskFile leaf) throws IOException {
        this.file = leaf;
        this.size = leaf.size();
    }

    int size() {
        return size;
    }

    /** The next so many bytes at a place; good until the next look. */
    ByteBuffer look(int at, int length) throws IOException {
        if (at < from || at + length > from + bufferedBytes) {
            if (length > bytes.length) {
                bytes = new byte[length];
            }
            bufferedBytes = Math.min(bytes.length, size - at);
            file.read(at, bytes, bufferedBytes);
            from = at;
        }
        return ByteBuffer.wrap(bytes, at - from, length).slice();
    }

    byte at(int pos) throws IOException {
        return pos >= from && pos < from + bufferedBytes
                ? bytes[pos - from]
                : look(pos, 1).get();
    }

    boolean zero(int start, int end) throws IOException {
        for (int i = start; i < end; i++) {
            if (at(i) != 0) {
                return false;
            }
        }
        return true;
    }

    /** No leftover may ever be read as a record (docs/design.md, section 4.3). What is zero already costs no write. */
    void blank(int start) throws IOException {
        byte[] zeros = new byte[Disk.CHUNK_BYTES];
        for (int at = start; at < size; at += Disk.CHUNK_BYTES) {
            int end = Math.min(at + Disk.CHUNK_BYTES, size);
            if (!zero(at, end)) {
                file.write(at, zeros, end - at);
            }
        }
        bufferedBytes = 0;
    }
}

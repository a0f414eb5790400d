package org.woadvale.common.wal;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A sliding window over one file, so that recovery buffers no more than a chunk or the record that it reads
 * (docs/design.md, section 4.3).
 */
final class ReadWindow {
    private final Disk.DiskFile file;
    private final int size;
    private byte[] bytes = new byte[Disk.CHUNK_BYTES];
    private int windowStart;
    private int bufferedBytes;

    ReadWindow(Disk.DiskFile file) throws IOException {
        this.file = file;
        this.size = file.size();
    }

    int size() {
        return size;
    }

    /** Returns {@code length} bytes at a position; the buffer is valid until the next call. */
    ByteBuffer read(int position, int length) throws IOException {
        if (position < windowStart || position + length > windowStart + bufferedBytes) {
            if (length > bytes.length) {
                bytes = new byte[length];
            }
            bufferedBytes = Math.min(bytes.length, size - position);
            file.read(position, bytes, bufferedBytes);
            windowStart = position;
        }
        return ByteBuffer.wrap(bytes, position - windowStart, length).slice();
    }

    byte byteAt(int position) throws IOException {
        return position >= windowStart && position < windowStart + bufferedBytes
                ? bytes[position - windowStart]
                : read(position, 1).get();
    }

    boolean isZero(int start, int end) throws IOException {
        for (int i = start; i < end; i++) {
            if (byteAt(i) != 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Zeroes the file from a position to its end, so that no stale bytes can ever be read as a record (docs/design.md,
     * section 4.3). Chunks that are zero already are not written.
     */
    void zeroFrom(int start) throws IOException {
        byte[] zeros = new byte[Disk.CHUNK_BYTES];
        for (int position = start; position < size; position += Disk.CHUNK_BYTES) {
            int end = Math.min(position + Disk.CHUNK_BYTES, size);
            if (!isZero(position, end)) {
                file.write(position, zeros, end - position);
            }
        }
        bufferedBytes = 0;
    }
}

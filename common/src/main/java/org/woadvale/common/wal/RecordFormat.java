package org.woadvale.common.wal;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32C;

/** The bytes of a record: length, checksum, segment number, batch number, body. design 4.2 */
final class RecordFormat {
    static final int HEADER_BYTES = 4 + 4;
    /** Format of this build's records; readers accept every format up to it. */
    static final byte FORMAT = WalRecord.FORMAT;

    private static final byte END_OF_SEGMENT = 9;

    /** A sound record that this build cannot read: nothing may be cut or set aside for it. */
    static final class NewerFormatException extends Exception {
        private static final long serialVersionUID = 1L;

        NewerFormatException(int format) {
            super(
                    "written by a newer build: format " + format + ", this one reads up to " + FORMAT,
                    null,
                    false,
                    false);
        }
    }

    record DecodedRecord(long segment, long batch, int next, Optional<WalRecord> record) {
        boolean endsSegment() {
            return record.isEmpty();
        }
    }

    private RecordFormat() {}

    static byte[] endOfSegment(long segment, long batch) {
        return withChecksum(
                ByteBuffer.allocate(HEADER_BYTES + 18)
                        .position(HEADER_BYTES)
                        .put(FORMAT)
                        .putLong(segment)
                        .putLong(batch)
                        .put(END_OF_SEGMENT),
                new byte[0]);
    }

    /** All of the record but its bytes, which follow: a large base is not copied once more. */
    static byte[] header(long segment, long batch, WalRecord e) {
        byte[] part = e.partition().getBytes(StandardCharsets.UTF_8);
        return withChecksum(
                ByteBuffer.allocate(size(e) - e.bytes().length)
                        .position(HEADER_BYTES)
                        .put(FORMAT)
                        .putLong(segment)
                        .putLong(batch)
                        .put((byte) e.kind().ordinal())
                        .putShort((short) part.length)
                        .put(part)
                        .putLong(e.index())
                        .putLong(e.term())
                        .putInt(e.bytes().length),
                e.bytes());
    }

    static int size(WalRecord e) {
        return HEADER_BYTES + 18 + 2 + e.partition().getBytes(StandardCharsets.UTF_8).length + 20 + e.bytes().length;
    }

    private static byte[] withChecksum(ByteBuffer b, byte[] follow) {
        CRC32C crc = new CRC32C();
        crc.update(b.array(), HEADER_BYTES, b.capacity() - HEADER_BYTES);
        crc.update(follow);
        b.putInt(0, b.capacity() + follow.length).putInt(4, (int) crc.getValue());
        return b.array();
    }

    /** Empty where no whole, sound record stands at the place. */
    static Optional<DecodedRecord> read(ReadWindow file, int at) throws NewerFormatException, IOException {
        if (at + HEADER_BYTES + 18 > file.size()) {
            return Optional.empty();
        }
        int len = file.look(at, HEADER_BYTES).getInt();
        if (len < HEADER_BYTES + 18 || len > file.size() - at) {
            return Optional.empty();
        }
        ByteBuffer b = file.look(at, len);
        CRC32C crc = new CRC32C();
        crc.update(b.slice(HEADER_BYTES, len - HEADER_BYTES));
        if ((int) crc.getValue() != b.getInt(4)) {
            return Optional.empty();
        }
        byte format = b.get(HEADER_BYTES);
        if (format > FORMAT) {
            throw new NewerFormatException(format);
        }
        try {
            return body(b.position(HEADER_BYTES), at + len);
        } catch (BufferUnderflowException e) {
            return Optional.empty();
        }
    }

    private static Optional<DecodedRecord> body(ByteBuffer b, int next) {
        byte format = b.get();
        long segment = b.getLong();
        long batch = b.getLong();
        byte kind = b.get();
        if (kind == END_OF_SEGMENT) {
            return Optional.of(new DecodedRecord(segment, batch, next, Optional.empty()));
        }
        byte[] part = new byte[b.getShort()];
        b.get(part);
        long index = b.getLong();
        long term = b.getLong();
        byte[] bytes = new byte[b.getInt()];
        b.get(bytes);
        return Optional.of(new DecodedRecord(
                segment,
                batch,
                next,
                Optional.of(new WalRecord(
                        new String(part, StandardCharsets.UTF_8),
                        WalRecord.Kind.values()[kind],
                        index,
                        term,
                        bytes,
                        format))));
    }
}

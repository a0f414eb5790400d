package org.woadvale.common.wal;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32C;

/** Encoding of a record: length, checksum, format, segment number, batch number, kind and body. */
final class RecordFormat {
    static final int HEADER_BYTES = 4 + 4;
    /** Format of this build's records; readers accept every format up to it. */
    static final byte FORMAT = WalRecord.FORMAT;

    /** Format, segment, batch and kind. */
    static final int PREFIX_BYTES = 1 + Long.BYTES + Long.BYTES + 1;

    /** Index, term and payload length, which follow the partition name. */
    private static final int SUFFIX_BYTES = Long.BYTES + Long.BYTES + Integer.BYTES;

    /** Size of the record that ends a segment. */
    static final int END_OF_SEGMENT_BYTES = HEADER_BYTES + PREFIX_BYTES;

    private static final int CHECKSUM_OFFSET = Integer.BYTES;
    private static final byte END_OF_SEGMENT = 9;

    /**
     * A valid record in a format that this build cannot read; the folder must be neither truncated nor set aside
     * because of it.
     */
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

    record DecodedRecord(long segment, long batch, int nextPosition, Optional<WalRecord> record) {
        boolean endsSegment() {
            return record.isEmpty();
        }
    }

    private RecordFormat() {}

    static byte[] endOfSegment(long segment, long batch) {
        return withChecksum(
                ByteBuffer.allocate(HEADER_BYTES + PREFIX_BYTES)
                        .position(HEADER_BYTES)
                        .put(FORMAT)
                        .putLong(segment)
                        .putLong(batch)
                        .put(END_OF_SEGMENT),
                new byte[0]);
    }

    /**
     * Encodes the record except for its payload, which is written separately, so that a large snapshot is not copied
     * once more.
     */
    static byte[] header(long segment, long batch, WalRecord record) {
        byte[] partition = record.partition().getBytes(StandardCharsets.UTF_8);
        return withChecksum(
                ByteBuffer.allocate(size(record) - record.bytes().length)
                        .position(HEADER_BYTES)
                        .put(FORMAT)
                        .putLong(segment)
                        .putLong(batch)
                        .put((byte) record.kind().ordinal())
                        .putShort((short) partition.length)
                        .put(partition)
                        .putLong(record.index())
                        .putLong(record.term())
                        .putInt(record.bytes().length),
                record.bytes());
    }

    static int size(WalRecord record) {
        return HEADER_BYTES
                + PREFIX_BYTES
                + 2
                + record.partition().getBytes(StandardCharsets.UTF_8).length
                + SUFFIX_BYTES
                + record.bytes().length;
    }

    private static byte[] withChecksum(ByteBuffer buffer, byte[] payload) {
        CRC32C crc = new CRC32C();
        crc.update(buffer.array(), HEADER_BYTES, buffer.capacity() - HEADER_BYTES);
        crc.update(payload);
        buffer.putInt(0, buffer.capacity() + payload.length).putInt(CHECKSUM_OFFSET, (int) crc.getValue());
        return buffer.array();
    }

    /** Reads the record at a position; empty if no complete and valid record begins there. */
    static Optional<DecodedRecord> read(ReadWindow file, int position) throws NewerFormatException, IOException {
        if (position + HEADER_BYTES + PREFIX_BYTES > file.size()) {
            return Optional.empty();
        }
        int length = file.read(position, HEADER_BYTES).getInt();
        if (length < HEADER_BYTES + PREFIX_BYTES || length > file.size() - position) {
            return Optional.empty();
        }
        ByteBuffer buffer = file.read(position, length);
        CRC32C crc = new CRC32C();
        crc.update(buffer.slice(HEADER_BYTES, length - HEADER_BYTES));
        if ((int) crc.getValue() != buffer.getInt(CHECKSUM_OFFSET)) {
            return Optional.empty();
        }
        byte format = buffer.get(HEADER_BYTES);
        if (format > FORMAT) {
            throw new NewerFormatException(format);
        }
        try {
            return decodeBody(buffer.position(HEADER_BYTES), position + length);
        } catch (BufferUnderflowException e) {
            return Optional.empty();
        }
    }

    private static Optional<DecodedRecord> decodeBody(ByteBuffer buffer, int next) {
        byte format = buffer.get();
        long segment = buffer.getLong();
        long batch = buffer.getLong();
        byte kind = buffer.get();
        if (kind == END_OF_SEGMENT) {
            return Optional.of(new DecodedRecord(segment, batch, next, Optional.empty()));
        }
        byte[] partition = new byte[buffer.getShort()];
        buffer.get(partition);
        long index = buffer.getLong();
        long term = buffer.getLong();
        byte[] bytes = new byte[buffer.getInt()];
        buffer.get(bytes);
        return Optional.of(new DecodedRecord(
                segment,
                batch,
                next,
                Optional.of(new WalRecord(
                        new String(partition, StandardCharsets.UTF_8),
                        WalRecord.Kind.values()[kind],
                        index,
                        term,
                        bytes,
                        format))));
    }
}

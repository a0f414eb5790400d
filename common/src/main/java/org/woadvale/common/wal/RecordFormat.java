package org.woadvale.common.wal;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32C;

/** The bytes of a record: length, checksum, segment number, batch number, body. design 4.2 */
final class RecordFormat {
    static final int HEAD = 4 + 4;
    /** Format of this build's records; readers accept every format up to it. */
    static final byte FORMAT = Entry.FORMAT;

    private static final byte ROLL = 9;

    /** A sound record that this build cannot read: nothing may be cut or set aside for it. */
    static final class Newer extends Exception {
        private static final long serialVersionUID = 1L;

        Newer(int format) {
            super(
                    "written by a newer build: format " + format + ", this one reads up to " + FORMAT,
                    null,
                    false,
                    false);
        }
    }

    record Found(long segment, long batch, int next, Optional<Entry> entry) {
        boolean roll() {
            return entry.isEmpty();
        }
    }

    private RecordFormat() {}

    static byte[] roll(long segment, long batch) {
        return seal(
                ByteBuffer.allocate(HEAD + 18)
                        .position(HEAD)
                        .put(FORMAT)
                        .putLong(segment)
                        .putLong(batch)
                        .put(ROLL),
                new byte[0]);
    }

    /** All of the record but its bytes, which follow: a large base is not copied once more. */
    static byte[] head(long segment, long batch, Entry e) {
        byte[] part = e.part().getBytes(StandardCharsets.UTF_8);
        return seal(
                ByteBuffer.allocate(size(e) - e.bytes().length)
                        .position(HEAD)
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

    static int size(Entry e) {
        return HEAD + 18 + 2 + e.part().getBytes(StandardCharsets.UTF_8).length + 20 + e.bytes().length;
    }

    private static byte[] seal(ByteBuffer b, byte[] follow) {
        CRC32C crc = new CRC32C();
        crc.update(b.array(), HEAD, b.capacity() - HEAD);
        crc.update(follow);
        b.putInt(0, b.capacity() + follow.length).putInt(4, (int) crc.getValue());
        return b.array();
    }

    /** Empty where no whole, sound record stands at the place. */
    static Optional<Found> read(ReadWindow file, int at) throws Newer, IOException {
        if (at + HEAD + 18 > file.size()) {
            return Optional.empty();
        }
        int len = file.look(at, HEAD).getInt();
        if (len < HEAD + 18 || len > file.size() - at) {
            return Optional.empty();
        }
        ByteBuffer b = file.look(at, len);
        CRC32C crc = new CRC32C();
        crc.update(b.slice(HEAD, len - HEAD));
        if ((int) crc.getValue() != b.getInt(4)) {
            return Optional.empty();
        }
        byte format = b.get(HEAD);
        if (format > FORMAT) {
            throw new Newer(format);
        }
        try {
            return body(b.position(HEAD), at + len);
        } catch (BufferUnderflowException e) {
            return Optional.empty();
        }
    }

    private static Optional<Found> body(ByteBuffer b, int next) {
        byte format = b.get();
        long segment = b.getLong();
        long batch = b.getLong();
        byte kind = b.get();
        if (kind == ROLL) {
            return Optional.of(new Found(segment, batch, next, Optional.empty()));
        }
        byte[] part = new byte[b.getShort()];
        b.get(part);
        long index = b.getLong();
        long term = b.getLong();
        byte[] bytes = new byte[b.getInt()];
        b.get(bytes);
        return Optional.of(new Found(
                segment,
                batch,
                next,
                Optional.of(new Entry(
                        new String(part, StandardCharsets.UTF_8),
                        Entry.Kind.values()[kind],
                        index,
                        term,
                        bytes,
                        format))));
    }
}

package org.woadvale.common.wal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/** Bytes that older builds wrote must stay readable. */
class RecordFormatTest {
    private static final byte[] FORMAT_1 = HexFormat.of()
            .parseHex("00000035733c1d7301000000000000000300000000000000090100"
                    + "026d310000000000000005000000000000000200000003010203");

    private static Optional<RecordFormat.DecodedRecord> read(byte[] file)
            throws RecordFormat.NewerFormatException, IOException {
        return RecordFormat.read(
                new ReadWindow(new Disk.DiskFile() {
                    @Override
                    public int size() {
                        return file.length;
                    }

                    @Override
                    public void write(long position, byte[] bytes, int length) {}

                    @Override
                    public void read(long position, byte[] into, int length) {
                        System.arraycopy(file, (int) position, into, 0, length);
                    }

                    @Override
                    public void sync() {}
                }),
                0);
    }

    @Test
    void recordsOfTheFirstFormatAreRead() throws RecordFormat.NewerFormatException, IOException {
        RecordFormat.DecodedRecord decodedRecord = read(FORMAT_1).orElseThrow();
        assertEquals(3, decodedRecord.segment());
        assertEquals(9, decodedRecord.batch());
        WalRecord record = decodedRecord.record().orElseThrow();
        assertEquals("m1", record.partition());
        assertEquals(1, record.format());
        assertEquals(5, record.index());
        assertEquals(2, record.term());
        assertArrayEquals(new byte[] {1, 2, 3}, record.bytes());
    }

    @Test
    void anyFlippedBitIsDetected() throws RecordFormat.NewerFormatException, IOException {
        for (int bit = 0; bit < FORMAT_1.length * 8; bit++) {
            byte[] damaged = FORMAT_1.clone();
            damaged[bit / 8] ^= (byte) (1 << bit % 8);
            assertTrue(read(damaged).isEmpty(), "bit " + bit);
        }
    }

    /** Guards against treating a newer format as damage, for which the whole folder was set aside. */
    @Test
    void newerFormatIsNotTreatedAsDamage() {
        byte[] newer = FORMAT_1.clone();
        newer[RecordFormat.HEADER_BYTES] = RecordFormat.FORMAT + 1;
        CRC32C crc = new CRC32C();
        crc.update(newer, RecordFormat.HEADER_BYTES, newer.length - RecordFormat.HEADER_BYTES);
        ByteBuffer.wrap(newer).putInt(4, (int) crc.getValue());
        assertEquals(
                "written by a newer build: format 4, this one reads up to 3",
                assertThrows(RecordFormat.NewerFormatException.class, () -> read(newer))
                        .getMessage());
    }
}

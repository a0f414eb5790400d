package org.woadvale.common.wal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.wal.RingReserve.Holding;

class RingReserveTest {
    private static final int FILE = 100;

    private static int files(Holding... holdings) {
        return RingReserve.files(List.of(holdings), FILE);
    }

    @Test
    void emptyRingNeedsNothing() {
        assertEquals(0, files());
    }

    /** Partitions whose first snapshots stand in one file may all have grown since. */
    @Test
    void everySnapshotThatFreesTheOldestFileHasRoom() {
        assertEquals(1, files(new Holding(0, 10), new Holding(0, 10), new Holding(0, 10)));
        assertEquals(2, files(new Holding(0, 50), new Holding(0, 50), new Holding(0, 50)));
        assertEquals(3, files(new Holding(0, 60), new Holding(0, 60), new Holding(0, 60)), "none is divided");
    }

    /** A file that is freed on the way may be written again. */
    @Test
    void freedFilesAreUsedAgain() {
        assertEquals(1, files(new Holding(4, 60), new Holding(5, 60), new Holding(6, 60), new Holding(7, 60)));
        assertEquals(2, files(new Holding(4, 60), new Holding(5, 60), new Holding(5, 60)));
        assertEquals(
                3,
                files(
                        new Holding(7, 60),
                        new Holding(7, 60),
                        new Holding(9, 60),
                        new Holding(8, 60),
                        new Holding(8, 60)));
        assertEquals(2, files(new Holding(4, 30), new Holding(5, 30), new Holding(5, 30), new Holding(5, 50)));
    }

    /** A folder that an earlier build filled to the end is refused and left as it is: all of it is needed. */
    @Test
    void ringWhoseNextFileIsNeededIsNotOpened() throws ServiceException {
        MemoryDisk disk = new MemoryDisk();
        int size = 1024;
        byte[] content = new byte[300];
        for (int segment = 0; segment < 4; segment++) {
            byte[] file = new byte[size];
            int position = 0;
            for (int i = 0; i < 2; i++) {
                WalRecord record = new WalRecord("m1", WalRecord.Kind.ENTRY, segment * 2L + i + 1, 1, content);
                byte[] header = RecordFormat.header(segment, segment + 1L, record);
                System.arraycopy(header, 0, file, position, header.length);
                System.arraycopy(content, 0, file, position + header.length, content.length);
                position += RecordFormat.size(record);
            }
            byte[] end = RecordFormat.endOfSegment(segment, segment + 1L);
            System.arraycopy(end, 0, file, position, end.length);
            disk.files.put(String.format("ring-%02d", segment), file);
        }
        byte[] first = disk.files.get("ring-00").clone();
        for (int i = 0; i < 2; i++) {
            ServiceException failure =
                    assertThrows(ServiceException.class, () -> RingWriteAheadLog.open(disk, new NoTimers(), 4, size));
            assertTrue(failure.getMessage().contains("the ring is full"), failure.getMessage());
            assertArrayEquals(first, disk.files.get("ring-00"));
        }
    }
}

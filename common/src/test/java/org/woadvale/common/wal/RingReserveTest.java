package org.woadvale.common.wal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.wal.RingReserve.PartitionUsage;

class RingReserveTest {
    private static final int FILE_SIZE = 100;

    private static int requiredFreeFiles(PartitionUsage... usages) {
        return RingReserve.requiredFreeFiles(List.of(usages), FILE_SIZE);
    }

    @Test
    void emptyRingNeedsNothing() {
        assertEquals(0, requiredFreeFiles());
    }

    /** The snapshots of partitions that share a file may all have grown since they were written. */
    @Test
    void everySnapshotThatFreesTheOldestFileHasRoom() {
        assertEquals(
                1, requiredFreeFiles(new PartitionUsage(0, 10), new PartitionUsage(0, 10), new PartitionUsage(0, 10)));
        assertEquals(
                2, requiredFreeFiles(new PartitionUsage(0, 50), new PartitionUsage(0, 50), new PartitionUsage(0, 50)));
        assertEquals(
                3,
                requiredFreeFiles(new PartitionUsage(0, 60), new PartitionUsage(0, 60), new PartitionUsage(0, 60)),
                "no snapshot is split between files");
    }

    /** A file that is freed in the process can be reused. */
    @Test
    void freedFilesAreUsedAgain() {
        assertEquals(
                1,
                requiredFreeFiles(
                        new PartitionUsage(4, 60),
                        new PartitionUsage(5, 60),
                        new PartitionUsage(6, 60),
                        new PartitionUsage(7, 60)));
        assertEquals(
                2, requiredFreeFiles(new PartitionUsage(4, 60), new PartitionUsage(5, 60), new PartitionUsage(5, 60)));
        assertEquals(
                3,
                requiredFreeFiles(
                        new PartitionUsage(7, 60),
                        new PartitionUsage(7, 60),
                        new PartitionUsage(9, 60),
                        new PartitionUsage(8, 60),
                        new PartitionUsage(8, 60)));
        assertEquals(
                2,
                requiredFreeFiles(
                        new PartitionUsage(4, 30),
                        new PartitionUsage(5, 30),
                        new PartitionUsage(5, 30),
                        new PartitionUsage(5, 50)));
    }

    /** A ring that an earlier build filled completely is rejected and left unchanged, since all of it is needed. */
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

package org.woadvale.common.wal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Disk space that a data folder uses. */
class FolderDiskTest {
    private static final int SIZE = 100_000;

    @TempDir
    Path folder;

    private static void fill(FolderDisk disk, int marker) throws IOException {
        Disk.DiskFile file = disk.open("ring-00", SIZE);
        file.allocate();
        file.write(0, new byte[] {(byte) marker}, 1);
        file.sync();
    }

    private List<Path> setAsideFolders() throws IOException {
        try (Stream<Path> stream = Files.list(folder)) {
            return stream.filter(Files::isDirectory).toList();
        }
    }

    /** Guards against keeping one more ring for each damaged folder; the fourth one filled a small disk. */
    @Test
    void onlyTheNewestDamagedFolderIsKept() throws IOException {
        FolderDisk disk = new FolderDisk(folder);
        for (int marker = 1; marker <= 4; marker++) {
            fill(disk, marker);
            disk.setAside();
        }
        List<Path> kept = setAsideFolders();
        assertEquals(1, kept.size());
        assertEquals(4, Files.readAllBytes(kept.get(0).resolve("ring-00"))[0]);
        assertEquals(List.of(), disk.list());
        assertTrue(disk.deleteSetAside());
        assertFalse(disk.deleteSetAside());
        assertEquals(List.of(), setAsideFolders());
    }

    @Test
    void openingUsesNoSpaceAndAllocatingUsesTheWholeSize() throws IOException {
        FolderDisk disk = new FolderDisk(folder);
        Disk.DiskFile file = disk.open("ring-00", SIZE);
        byte[] bytes = {7, 7};
        file.read(SIZE - 2, bytes, 2);
        assertEquals(0, bytes[0] + bytes[1]);
        assertEquals(List.of(), disk.list());
        file.allocate();
        assertEquals(SIZE, Files.size(folder.resolve("ring-00")));
    }

    @Test
    void partlyAllocatedFileKeepsItsBytes() throws IOException {
        Files.write(folder.resolve("ring-00"), new byte[] {5, 6});
        Disk.DiskFile file = new FolderDisk(folder).open("ring-00", SIZE);
        file.allocate();
        byte[] bytes = new byte[3];
        file.read(0, bytes, 3);
        assertEquals(List.of((byte) 5, (byte) 6, (byte) 0), List.of(bytes[0], bytes[1], bytes[2]));
        assertEquals(SIZE, file.size());
    }

    @Test
    void diskFullIsDistinguishedFromOtherErrors() {
        assertInstanceOf(
                DiskFullException.class, DiskFullException.classify(new IOException("No space left on device")));
        assertInstanceOf(
                DiskFullException.class, DiskFullException.classify(new IOException("/d: Disk quota exceeded")));
        assertFalse(DiskFullException.classify(new IOException("Input/output error")) instanceof DiskFullException);
    }
}

package org.woadvale.common.wal;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A data folder in the file system. At most one damaged folder is kept set aside, so that the disk never holds more
 * than two rings.
 */
public final class FolderDisk implements Disk {
    private static final Logger LOG = LogManager.getLogger(FolderDisk.class);
    private static final String SET_ASIDE = "set-aside-";
    private final Path folder;

    /** Opens a folder, and creates it if it does not exist. */
    public FolderDisk(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> stream = Files.list(folder)) {
            return stream.filter(Files::isRegularFile)
                    .map(path -> path.getFileName().toString())
                    .sorted()
                    .toList();
        }
    }

    @Override
    public DiskFile open(String name, int size) {
        return new FolderFile(folder.resolve(name), size);
    }

    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void setAside() throws IOException {
        deleteSetAside();
        try {
            Path aside = folder.resolve(SET_ASIDE + System.currentTimeMillis());
            Files.createDirectory(aside);
            for (String name : list()) {
                Files.move(folder.resolve(name), aside.resolve(name));
            }
        } catch (IOException e) {
            if (!(DiskFullException.classify(e) instanceof DiskFullException)) {
                throw e;
            }
            LOG.warn("The disk is full; deleting the damaged files of {} instead of setting them aside.", folder);
            for (String name : list()) {
                Files.delete(folder.resolve(name));
            }
        }
        syncFolder(folder);
    }

    @Override
    public boolean deleteSetAside() throws IOException {
        List<Path> folders;
        try (Stream<Path> stream = Files.list(folder)) {
            folders = stream.filter(path -> path.getFileName().toString().startsWith(SET_ASIDE))
                    .toList();
        }
        for (Path aside : folders) {
            LOG.warn("Deleting {}, which was set aside earlier, to free its space.", aside);
            deleteFolder(aside);
        }
        return !folders.isEmpty();
    }

    private static void deleteFolder(Path aside) throws IOException {
        List<Path> files;
        try (Stream<Path> stream = Files.list(aside)) {
            files = stream.toList();
        }
        for (Path file : files) {
            Files.delete(file);
        }
        Files.delete(aside);
    }
}

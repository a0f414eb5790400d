package org.woadvale.common.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Neighbours learned, kept beside the ring so that the seeds may be down at the next start. */
public final class KnownFile {
    private static final Logger LOG = LogManager.getLogger("helm");
    private final Path file;

    public KnownFile(String folder) {
        this.file = Path.of(folder, "neighbours");
    }

    public List<String> read() {
        try {
            return Files.exists(file)
                    ? Files.readAllLines(file).stream()
                            .filter(l -> l.matches("[0-9.]+:[0-9]+"))
                            .toList()
                    : List.of();
        } catch (IOException e) {
            LOG.warn("helm: the list of neighbours is unreadable.");
            return List.of();
        }
    }

    public void write(List<String> known) {
        try {
            Files.createDirectories(file.getParent());
            Path next = file.resolveSibling("neighbours.next");
            Files.write(next, known);
            try (var ch = java.nio.channels.FileChannel.open(next, java.nio.file.StandardOpenOption.WRITE)) {
                ch.force(true);
            }
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warn("helm: the list of neighbours was not written: {}.", e.getMessage());
        }
    }
}

package org.woadvale.common.cli;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.membership.CoreMembers;

/** Stores the known core members in the data folder, so that a node can restart while the seeds are down. */
public final class CoreMembersFile {
    private static final Logger LOG = LogManager.getLogger(CoreMembersFile.class);
    private static final String EPOCH_PREFIX = "epoch ";
    private final Path file;

    /** Creates the store in a data folder; no file is read or written yet. */
    public CoreMembersFile(String folder) {
        this.file = Path.of(folder, "neighbours");
    }

    /** Reads the stored list. A file of a build without epochs has epoch 0, so any list with an epoch is newer. */
    public CoreMembers read() {
        try {
            return Files.exists(file) ? parse(Files.readAllLines(file)) : CoreMembers.unknown();
        } catch (IOException e) {
            LOG.warn("Cannot read the stored list of core members.");
            return CoreMembers.unknown();
        }
    }

    private static CoreMembers parse(List<String> lines) {
        long epoch = lines.stream()
                .filter(line -> line.matches(EPOCH_PREFIX + "[0-9]{1,18}"))
                .mapToLong(line -> Long.parseLong(line.substring(EPOCH_PREFIX.length())))
                .max()
                .orElse(0);
        return new CoreMembers(
                epoch,
                lines.stream().filter(line -> line.matches("[0-9.]+:[0-9]+")).toList());
    }

    /** Replaces the list atomically; the epoch is on a line of its own, which builds without epochs ignore. */
    public void write(CoreMembers members) {
        try {
            Files.createDirectories(file.getParent());
            Path temporary = file.resolveSibling("neighbours.next");
            List<String> lines = new ArrayList<>(members.members());
            lines.add(EPOCH_PREFIX + members.epoch());
            Files.write(temporary, lines);
            try (var channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
                channel.force(true);
            }
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warn("Cannot store the list of core members: {}.", e.getMessage());
        }
    }
}

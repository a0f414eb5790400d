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

/** Peers learned, kept beside the ring so that the seeds may be down at the next start. */
public final class CoreMembersFile {
    private static final Logger LOG = LogManager.getLogger(CoreMembersFile.class);
    private static final String EPOCH = "epoch ";
    private final Path file;

    /** The list that is kept in a data folder. */
    public CoreMembersFile(String folder) {
        this.file = Path.of(folder, "neighbours");
    }

    /** The list that was written last; a file of a build without epochs counts as hearsay. */
    public CoreMembers read() {
        try {
            return Files.exists(file) ? parsed(Files.readAllLines(file)) : CoreMembers.unknown();
        } catch (IOException e) {
            LOG.warn("The stored list of core members is unreadable.");
            return CoreMembers.unknown();
        }
    }

    private static CoreMembers parsed(List<String> lines) {
        long epoch = lines.stream()
                .filter(line -> line.matches(EPOCH + "[0-9]{1,18}"))
                .mapToLong(line -> Long.parseLong(line.substring(EPOCH.length())))
                .max()
                .orElse(0);
        return new CoreMembers(
                epoch,
                lines.stream().filter(line -> line.matches("[0-9.]+:[0-9]+")).toList());
    }

    /** Replaces the list in one step; the epoch has a line of its own that builds without epochs ignore. */
    public void write(CoreMembers known) {
        try {
            Files.createDirectories(file.getParent());
            Path next = file.resolveSibling("neighbours.next");
            List<String> lines = new ArrayList<>(known.members());
            lines.add(EPOCH + known.epoch());
            Files.write(next, lines);
            try (var channel = FileChannel.open(next, StandardOpenOption.WRITE)) {
                channel.force(true);
            }
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warn("The list of core members was not stored: {}.", e.getMessage());
        }
    }
}

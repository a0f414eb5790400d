package org.woadvale.testkit.compatibility;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.simulation.SimulatedFleets;

/**
 * The files under {@code compatibility/} of the test resources, written by the build c85368e before its names were
 * changed. {@link #main} writes them anew into a folder: only for a change of format that is meant.
 */
final class GoldenFiles {
    static final String FRAMES = "frames.txt";
    static final String EXCHANGES = "http.txt";
    static final String CONTROL_FOLDER = "control.folder.gz";
    static final String STORE_FOLDER = "store.folder.gz";
    static final String CONTROL_STATE = "control.folder.txt";
    static final String STORE_STATE = "store.folder.txt";

    private GoldenFiles() {}

    static InputStream open(String name) {
        return GoldenFiles.class.getResourceAsStream("/compatibility/" + name);
    }

    static List<String> lines(String name) throws IOException {
        try (InputStream in = open(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    static Set<String> exchanges() throws ServiceException {
        HttpShapes shapes = new HttpShapes();
        SimulatedFleets.play(shapes::saw);
        return shapes.all();
    }

    /** Writes all files into the given folder. */
    public static void main(String[] args) throws IOException, ServiceException, ReflectiveOperationException {
        Path to = Path.of(args[0]);
        Files.write(to.resolve(FRAMES), StoredFrames.lines());
        Files.write(to.resolve(EXCHANGES), new ArrayList<>(exchanges()));
        SimulatedFleets.Folders folders = SimulatedFleets.folders();
        try (OutputStream out = Files.newOutputStream(to.resolve(CONTROL_FOLDER))) {
            StoredFolder.save(folders.control(), out);
        }
        try (OutputStream out = Files.newOutputStream(to.resolve(STORE_FOLDER))) {
            StoredFolder.save(folders.store(), out);
        }
        try (InputStream in = Files.newInputStream(to.resolve(CONTROL_FOLDER))) {
            Files.write(
                    to.resolve(CONTROL_STATE),
                    StoredFolder.recover(
                            in,
                            SimulatedFleets.CONTROL_ADDRESS,
                            StoredFrames.programs().get(0)));
        }
        try (InputStream in = Files.newInputStream(to.resolve(STORE_FOLDER))) {
            Files.write(
                    to.resolve(STORE_STATE),
                    StoredFolder.recover(
                            in,
                            SimulatedFleets.STORE_ADDRESS,
                            StoredFrames.programs().get(1)));
        }
    }
}

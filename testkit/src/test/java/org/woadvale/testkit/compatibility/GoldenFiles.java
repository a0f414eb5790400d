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
 * The golden files in the test resource folder {@code compatibility/}. Build c85368e wrote them, before the names in the
 * code were changed. {@link #main} regenerates them; use it only for an intended change of format.
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
        SimulatedFleets.recordExchanges(shapes::add);
        return shapes.all();
    }

    /** Writes all files into the given folder. */
    public static void main(String[] args) throws IOException, ServiceException, ReflectiveOperationException {
        Path folder = Path.of(args[0]);
        Files.write(folder.resolve(FRAMES), StoredFrames.lines());
        Files.write(folder.resolve(EXCHANGES), new ArrayList<>(exchanges()));
        SimulatedFleets.Folders folders = SimulatedFleets.folders();
        try (OutputStream out = Files.newOutputStream(folder.resolve(CONTROL_FOLDER))) {
            StoredFolder.save(folders.control(), out);
        }
        try (OutputStream out = Files.newOutputStream(folder.resolve(STORE_FOLDER))) {
            StoredFolder.save(folders.store(), out);
        }
        try (InputStream in = Files.newInputStream(folder.resolve(CONTROL_FOLDER))) {
            Files.write(
                    folder.resolve(CONTROL_STATE),
                    StoredFolder.recover(
                            in,
                            SimulatedFleets.CONTROL_ADDRESS,
                            StoredFrames.programs().get(0)));
        }
        try (InputStream in = Files.newInputStream(folder.resolve(STORE_FOLDER))) {
            Files.write(
                    folder.resolve(STORE_STATE),
                    StoredFolder.recover(
                            in,
                            SimulatedFleets.STORE_ADDRESS,
                            StoredFrames.programs().get(1)));
        }
    }
}

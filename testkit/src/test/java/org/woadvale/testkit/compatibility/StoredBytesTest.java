package org.woadvale.testkit.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.simulation.SimulatedFleets;

/** Frames, data folders and HTTP exchanges keep the format of an earlier build when names in the code change. */
class StoredBytesTest {
    @Test
    void registeredTypesAreWrittenAsInTheGoldenFile() throws IOException, ReflectiveOperationException {
        assertEquals(String.join("\n", GoldenFiles.lines(GoldenFiles.FRAMES)), String.join("\n", StoredFrames.lines()));
    }

    @Test
    void storedFramesAreReadAndRewrittenUnchanged() throws IOException, ServiceException {
        List<String> lines = GoldenFiles.lines(GoldenFiles.FRAMES);
        assertTrue(lines.size() > 100, "only " + lines.size() + " frames");
        for (String line : lines) {
            List<String> fields = StoredFrames.fields(line);
            StoredFrames.Program program = StoredFrames.program(fields.get(0)).orElseThrow();
            Object value = program.codec().read(HexFormat.of().parseHex(fields.get(2)), Object.class);
            Class<?> type = program.types().get(Integer.parseInt(fields.get(1)));
            assertEquals(type, value.getClass(), line);
            assertEquals(fields.get(2), HexFormat.of().formatHex(program.codec().write(value)), line);
        }
    }

    @Test
    void controlNodeRecoversTheFolderOfAnEarlierBuild()
            throws IOException, ServiceException, ReflectiveOperationException {
        assertRecovers(GoldenFiles.CONTROL_FOLDER, GoldenFiles.CONTROL_STATE, SimulatedFleets.CONTROL_ADDRESS, 0);
    }

    @Test
    void storeRecoversTheFolderOfAnEarlierBuild() throws IOException, ServiceException, ReflectiveOperationException {
        assertRecovers(GoldenFiles.STORE_FOLDER, GoldenFiles.STORE_STATE, SimulatedFleets.STORE_ADDRESS, 1);
    }

    private static void assertRecovers(String folder, String state, String address, int program)
            throws IOException, ServiceException, ReflectiveOperationException {
        try (InputStream in = GoldenFiles.open(folder)) {
            List<String> recovered =
                    StoredFolder.recover(in, address, StoredFrames.programs().get(program));
            assertEquals(String.join("\n", GoldenFiles.lines(state)), String.join("\n", recovered));
        }
    }

    @Test
    void httpExchangesKeepTheirShapes() throws IOException, ServiceException {
        List<String> expected = GoldenFiles.lines(GoldenFiles.EXCHANGES);
        assertTrue(expected.size() > 40, "only " + expected.size() + " shapes");
        Set<String> missing = new TreeSet<>(expected);
        missing.removeAll(GoldenFiles.exchanges());
        assertEquals(Set.of(), missing);
    }
}

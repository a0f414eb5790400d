package org.woadvale.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.testkit.cluster.TestkitProgram;

/** The replicated log of the brief names only what there is. */
class BriefTableTest {
    private static final Pattern TEST = Pattern.compile("`([A-Z][A-Za-z]*Test)(?:\\.([a-z][A-Za-z]*))?`");
    private static final Pattern DRILL = Pattern.compile("drills? ((?:[a-z]+(?:-[a-z]+)*(?:, )?)+)");

    private static Map<String, String> tests() throws IOException {
        try (Stream<Path> stream = Files.walk(Path.of(".."))) {
            Map<String, String> out = new HashMap<>();
            for (Path p : stream.filter(path -> path.toString().contains("src/test/java")
                            && path.toString().endsWith("Test.java"))
                    .toList()) {
                out.put(p.getFileName().toString().replace(".java", ""), Files.readString(p));
            }
            return out;
        }
    }

    @Test
    void everyTestNamedExists() throws IOException {
        Map<String, String> tests = tests();
        List<String> missing = new ArrayList<>();
        int named = 0;
        for (String page : List.of("brief.md", "failures.md")) {
            Matcher matcher = TEST.matcher(Files.readString(Path.of("..", "docs", page)));
            while (matcher.find()) {
                named++;
                String source = tests.getOrDefault(matcher.group(1), "");
                if (source.isEmpty()
                        || Optional.ofNullable(matcher.group(2))
                                .filter(x -> !source.contains("void " + x + "("))
                                .isPresent()) {
                    missing.add(page + ": " + matcher.group());
                }
            }
        }
        assertTrue(named > 60, "only " + named + " found");
        assertEquals(List.of(), missing);
    }

    /** The one closed list of kinds, in the schema that clients are made from too. */
    @Test
    void schemaListsEveryErrorKind() throws IOException {
        String schema = Files.readString(Path.of("..", "client", "src", "main", "openapi", "woadvale.yaml"));
        Matcher matcher = Pattern.compile("enum: \\[(bad_request[^\\]]*)\\]").matcher(schema);
        assertTrue(matcher.find(), "the kinds must be there");
        assertEquals(
                Stream.of(ErrorKind.values()).map(ErrorKind::wireName).toList(),
                List.of(matcher.group(1).split(",\\s*")));
    }

    @Test
    void everyDrillNamedExists() throws IOException {
        List<String> missing = new ArrayList<>();
        int named = 0;
        for (String page : List.of("brief.md", "failures.md")) {
            Matcher matcher = DRILL.matcher(Files.readString(Path.of("..", "docs", page)));
            while (matcher.find()) {
                for (String d : matcher.group(1).split(", ")) {
                    if (d.contains("-")
                            || d.equals("roll")
                            || d.equals("wrap")
                            || d.equals("outage")
                            || d.equals("upgrade")) {
                        named++;
                        if (!TestkitProgram.drills().contains(d)) {
                            missing.add(d);
                        }
                    }
                }
            }
        }
        assertTrue(named > 8, "only " + named + " found");
        assertEquals(List.of(), missing);
    }
}

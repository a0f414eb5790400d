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

/** docs/brief.md and docs/failures.md name only existing tests and drills. */
class BriefTableTest {
    private static final Pattern TEST = Pattern.compile("`([A-Z][A-Za-z]*Test)(?:\\.([a-z][A-Za-z]*))?`");
    private static final Pattern DRILL = Pattern.compile("drills? ((?:[a-z]+(?:-[a-z]+)*(?:, )?)+)");

    private static Map<String, String> tests() throws IOException {
        try (Stream<Path> stream = Files.walk(Path.of(".."))) {
            Map<String, String> out = new HashMap<>();
            for (Path path : stream.filter(file -> file.toString().contains("src/test/java")
                            && file.toString().endsWith("Test.java"))
                    .toList()) {
                out.put(path.getFileName().toString().replace(".java", ""), Files.readString(path));
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
                                .filter(method -> !source.contains("void " + method + "("))
                                .isPresent()) {
                    missing.add(page + ": " + matcher.group());
                }
            }
        }
        assertTrue(named > 60, "only " + named + " found");
        assertEquals(List.of(), missing);
    }

    /** The OpenAPI schema that clients are generated from lists the same error kinds as the code. */
    @Test
    void schemaListsEveryErrorKind() throws IOException {
        String schema = Files.readString(Path.of("..", "client", "src", "main", "openapi", "woadvale.yaml"));
        Matcher matcher = Pattern.compile("enum: \\[(bad_request[^\\]]*)\\]").matcher(schema);
        assertTrue(matcher.find(), "the schema does not list the error kinds");
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
                for (String drill : matcher.group(1).split(", ")) {
                    if (drill.contains("-")
                            || drill.equals("roll")
                            || drill.equals("wrap")
                            || drill.equals("outage")
                            || drill.equals("upgrade")) {
                        named++;
                        if (!TestkitProgram.drills().contains(drill)) {
                            missing.add(drill);
                        }
                    }
                }
            }
        }
        assertTrue(named > 8, "only " + named + " found");
        assertEquals(List.of(), missing);
    }
}

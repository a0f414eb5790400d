package org.woadvale.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that references to docs/design.md in sources and features name existing sections. */
class StyleTest {
    private static final Pattern REFERENCE =
            Pattern.compile("(?:[Dd]esign|docs/design\\.md,? section) (\\d+(?:\\.\\d+)?)");

    private static List<Path> sources() throws IOException {
        try (Stream<Path> stream = Files.walk(Path.of(".."))) {
            List<Path> all = stream.filter(path ->
                            path.toString().endsWith(".java") || path.toString().endsWith(".feature"))
                    .filter(path -> !path.toString().contains("/target/"))
                    .toList();
            assertTrue(all.size() > 50, "too few source files found: " + all.size());
            return all;
        }
    }

    @Test
    void everyDesignReferenceNamesAnExistingSection() throws IOException {
        String design = Files.readString(Path.of("..", "docs", "design.md"));
        TreeSet<String> missing = new TreeSet<>();
        for (Path path : sources()) {
            Matcher matcher = REFERENCE.matcher(Files.readString(path));
            while (matcher.find()) {
                if (!Pattern.compile("(?m)^#+ " + Pattern.quote(matcher.group(1)) + "[. ]")
                        .matcher(design)
                        .find()) {
                    missing.add(matcher.group(1) + " in " + path.getFileName());
                }
            }
        }
        assertEquals(new TreeSet<String>(), missing);
    }
}

package org.woadvale.testkit.style;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.woadvale.testkit.style.SourceViolations.Violation;

/**
 * Applies config/checkstyle.xml to all sources. config/checkstyle-allowed.txt holds the number of remaining violations per
 * module and rule: a higher count is a new violation; a lower count must be recorded there, so that it cannot rise again.
 */
class CheckstyleTest {
    private static final Path ROOT = Path.of("..");
    private static final Path ALLOWED = ROOT.resolve("config").resolve("checkstyle-allowed.txt");
    private static final String COMMENT = "#";

    private static TreeMap<String, Integer> allowed() throws Exception {
        TreeMap<String, Integer> counts = new TreeMap<>();
        for (String line : Files.readAllLines(ALLOWED)) {
            if (!line.isBlank() && !line.startsWith(COMMENT)) {
                int lastSpace = line.lastIndexOf(' ');
                counts.put(line.substring(0, lastSpace), Integer.valueOf(line.substring(lastSpace + 1)));
            }
        }
        return counts;
    }

    private static String key(Violation violation) {
        return violation.module() + " " + violation.rule();
    }

    /** Lists, with their locations, all violations of every module and rule that exceeds its allowed count. */
    private static String excess(Map<String, List<Violation>> found, Map<String, Integer> allowed) {
        return found.entrySet().stream()
                .filter(entry -> entry.getValue().size() > allowed.getOrDefault(entry.getKey(), 0))
                .flatMap(entry -> entry.getValue().stream())
                .map(Violation::toString)
                .collect(Collectors.joining("\n"));
    }

    private static String lines(Map<String, Integer> counts) {
        return counts.entrySet().stream()
                .map(entry -> entry.getKey() + " " + entry.getValue())
                .collect(Collectors.joining("\n"));
    }

    @Test
    void violationCountsMatchTheAllowedCounts() throws Exception {
        List<Violation> violations = new SourceViolations(ROOT).find();
        TreeMap<String, List<Violation>> found = violations.stream()
                .collect(Collectors.groupingBy(CheckstyleTest::key, TreeMap::new, Collectors.toList()));
        TreeMap<String, Integer> counts = new TreeMap<>();
        found.forEach((key, list) -> counts.put(key, list.size()));
        TreeMap<String, Integer> allowed = allowed();
        String excess = excess(found, allowed);
        assertTrue(
                excess.isEmpty(),
                () -> "fix these, or others of the same rule and module:\n" + excess + "\nCurrent counts:\n"
                        + lines(counts));
        assertEquals(lines(allowed), lines(counts), () -> "lower the numbers in " + ALLOWED + " to:\n" + lines(counts));
    }
}

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
import org.woadvale.testkit.stub.ObservationLog;
import org.woadvale.testkit.stub.Rules;

/** docs/rules.md has a row for each rule, and names only existing tests and design sections. */
class RulesTableTest {
    private static final Pattern TEST = Pattern.compile("`([A-Z][A-Za-z]*Test)(?:\\.([a-z][A-Za-z0-9]*))?`");
    private static final Pattern SECTION = Pattern.compile("(?<![.0-9])([0-9]{1,2}\\.[0-9]{1,2})(?![0-9])");

    private static List<String> rows() throws IOException {
        return Files.readAllLines(Path.of("..", "docs", "rules.md")).stream()
                .filter(l -> l.startsWith("| ") && !l.startsWith("| rule |") && !l.startsWith("| condition |"))
                .toList();
    }

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
        Matcher matcher = TEST.matcher(Files.readString(Path.of("..", "docs", "rules.md")));
        while (matcher.find()) {
            named++;
            String source = tests.getOrDefault(matcher.group(1), "");
            if (source.isEmpty()
                    || Optional.ofNullable(matcher.group(2))
                            .filter(method -> !source.contains("void " + method + "("))
                            .isPresent()) {
                missing.add(matcher.group());
            }
        }
        assertTrue(named > 50, "only " + named + " found");
        assertEquals(List.of(), missing);
    }

    /** A row states what violates the rule, what enforces it, and a test or "none yet". */
    @Test
    void everyRowIsComplete() throws IOException {
        List<String> rows = rows();
        assertTrue(rows.size() > 30, rows.size() + " rows");
        for (String row : rows) {
            String[] cells = row.substring(2).split(" \\| ");
            assertEquals(4, cells.length, row);
            assertTrue(TEST.matcher(cells[3]).find() || cells[3].contains("none yet"), row);
        }
    }

    @Test
    void everySectionNamedExists() throws IOException {
        String design = Files.readString(Path.of("..", "docs", "design.md"));
        List<String> missing = new ArrayList<>();
        for (String row : rows()) {
            Matcher matcher = SECTION.matcher(row);
            while (matcher.find()) {
                if (!Pattern.compile("(?m)^### " + Pattern.quote(matcher.group(1)) + "[. ]")
                        .matcher(design)
                        .find()) {
                    missing.add(matcher.group(1));
                }
            }
        }
        assertEquals(List.of(), missing);
    }

    @Test
    void everyRuleHasARow() throws IOException {
        String page = String.join("\n", rows());
        new Rules(new ObservationLog())
                .all()
                .keySet()
                .forEach(rule -> assertTrue(page.contains("| " + rule.replaceAll(" .*", "")), rule));
    }
}

package org.woadvale.testkit.style;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Every class that a build file or a documentation page names exists and has a main method. */
class StartedClassesTest {
    private static final Path ROOT = Path.of("..");
    private static final List<String> MODULES =
            List.of("common", "controlplane", "dataplane", "operator", "platform", "testkit");

    private static final Pattern CLASS_NAME = Pattern.compile("org\\.woadvale(?:\\.[a-z]+)+\\.[A-Z]\\w*");
    private static final Pattern MAIN_CLASS = Pattern.compile("<main\\.class>([\\w.]+)</main\\.class>");
    private static final String MAIN_METHOD = "public static void main(String[] ";

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<Path> buildFiles() {
        return MODULES.stream()
                .map(module -> ROOT.resolve(module).resolve("pom.xml"))
                .toList();
    }

    private static List<Path> pages() throws IOException {
        try (Stream<Path> docs = Files.walk(ROOT.resolve("docs"))) {
            return Stream.concat(
                            docs.filter(page -> page.toString().endsWith(".md")),
                            Stream.of(ROOT.resolve("README.md"), ROOT.resolve("DEVELOPERS.md")))
                    .toList();
        }
    }

    private static boolean hasMain(String className) {
        String file = className.replace('.', '/') + ".java";
        return MODULES.stream()
                .flatMap(module -> Stream.of("src/main/java", "src/test/java")
                        .map(folder -> ROOT.resolve(module).resolve(folder).resolve(file)))
                .filter(Files::exists)
                .anyMatch(source -> read(source).contains(MAIN_METHOD));
    }

    private static TreeSet<String> classesWithoutMain(List<Path> files) {
        return files.stream()
                .flatMap(file -> CLASS_NAME.matcher(read(file)).results().map(found -> found.group()))
                .filter(className -> !hasMain(className))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void classesNamedInBuildFilesHaveAMainMethod() {
        assertEquals(new TreeSet<>(), classesWithoutMain(buildFiles()));
    }

    @Test
    void classesNamedInPagesHaveAMainMethod() throws IOException {
        assertEquals(new TreeSet<>(), classesWithoutMain(pages()));
    }

    @Test
    void programsOfTheDeployFileHaveAMainClass() {
        for (String program : List.of("controlplane", "dataplane", "operator", "platform", "testkit")) {
            String buildFile = read(ROOT.resolve(program).resolve("pom.xml"));
            assertTrue(MAIN_CLASS.matcher(buildFile).find(), program + " names no main class");
        }
    }
}

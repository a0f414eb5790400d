package org.woadvale.testkit.style;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** deploy/system.toml, README.md and .ci/run name the same system packages for a clean build. */
class BuildPackagesTest {
    private static final Path ROOT = Path.of("..");
    /** Maps each program that the build or the deployment starts to its Debian package. */
    private static final Map<String, String> PACKAGE_OF =
            Map.of("mvn", "maven", "java", "openjdk-17-jdk-headless", "javac", "openjdk-17-jdk-headless");
    /** Programs that every Debian system has, and shell built-ins. */
    private static final Set<String> PREINSTALLED = Set.of("bash", "set", "cd");

    private static final Pattern PACKAGES = Pattern.compile("(?m)^packages = \\[(.*)]$");
    private static final Pattern QUOTED = Pattern.compile("\"([^\"]+)\"");
    private static final Pattern COMMAND = Pattern.compile("(?m)^(?:build|run) = \"(\\S+)");
    private static final Pattern INSTALL = Pattern.compile("apt-get install ([^`]+)`");

    private static String read(String first, String... more) throws IOException {
        return Files.readString(ROOT.resolve(Path.of(first, more)));
    }

    private static Set<String> listedPackages() throws IOException {
        String list = PACKAGES.matcher(read("deploy", "system.toml"))
                .results()
                .findFirst()
                .orElseThrow()
                .group(1);
        return QUOTED.matcher(list)
                .results()
                .map(quoted -> quoted.group(1))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void theDeployFileListsThePackageOfEachProgramThatItStarts() throws IOException {
        Set<String> needed = COMMAND.matcher(read("deploy", "system.toml"))
                .results()
                .map(command -> PACKAGE_OF.get(command.group(1)))
                .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(needed, listedPackages());
    }

    @Test
    void theReadmeInstallsExactlyThesePackages() throws IOException {
        List<String> install = INSTALL.matcher(read("README.md"))
                .results()
                .map((MatchResult found) -> found.group(1))
                .toList();
        assertEquals(1, install.size());
        assertEquals(
                listedPackages(), new TreeSet<>(List.of(install.get(0).trim().split(" "))));
    }

    @Test
    void theTestCommandStartsOnlyTheirPrograms() throws IOException {
        List<String> lines = read(".ci", "run")
                .lines()
                .filter(line -> !line.startsWith("#") && !line.isBlank())
                .toList();
        assertTrue(lines.size() >= 2, "no commands in .ci/run");
        for (String line : lines) {
            String program = line.trim().split(" ")[0];
            assertTrue(
                    PREINSTALLED.contains(program) || listedPackages().contains(PACKAGE_OF.getOrDefault(program, "")),
                    program + " belongs to no listed package");
        }
    }
}

package org.woadvale.testkit.style;

import com.puppycrawl.tools.checkstyle.Checker;
import com.puppycrawl.tools.checkstyle.ConfigurationLoader;
import com.puppycrawl.tools.checkstyle.PropertiesExpander;
import com.puppycrawl.tools.checkstyle.api.AuditEvent;
import com.puppycrawl.tools.checkstyle.api.AuditListener;
import com.puppycrawl.tools.checkstyle.api.CheckstyleException;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import java.util.stream.Stream;

/** Runs Checkstyle on the Java sources of all modules and collects the violations. */
final class SourceViolations {
    /** A violation: the module's directory, the rule's name in the configuration, and the location. */
    record Violation(String module, String rule, Path file, int line, String message) {
        @Override
        public String toString() {
            return file + ":" + line + ": " + rule + ": " + message;
        }
    }

    private static final String CHECK_SUFFIX = "Check";

    private final Path root;

    SourceViolations(Path root) {
        this.root = root.toAbsolutePath().normalize();
    }

    /** Returns all violations in file order; an unreadable file or configuration is an error. */
    List<Violation> find() throws IOException, CheckstyleException {
        Path config = root.resolve("config");
        Properties properties = new Properties();
        properties.setProperty("config_loc", config.toString());
        Collector collector = new Collector();
        Checker checker = new Checker();
        try {
            checker.setModuleClassLoader(Checker.class.getClassLoader());
            checker.configure(ConfigurationLoader.loadConfiguration(
                    config.resolve("checkstyle.xml").toString(), new PropertiesExpander(properties)));
            checker.addListener(collector);
            checker.process(sources());
        } finally {
            checker.destroy();
        }
        return collector.found;
    }

    /** The sources under MODULE/src, without generated code. */
    private List<File> sources() throws IOException {
        try (Stream<Path> paths = Files.walk(root)) {
            return paths.filter(path -> path.toString().endsWith(".java"))
                    .filter(path -> root.relativize(path).getName(1).toString().equals("src"))
                    .sorted()
                    .map(Path::toFile)
                    .toList();
        }
    }

    private final class Collector implements AuditListener {
        private final List<Violation> found = new ArrayList<>();

        @Override
        public void addError(AuditEvent event) {
            Path file = root.relativize(Path.of(event.getFileName()));
            String check = event.getSourceName().substring(event.getSourceName().lastIndexOf('.') + 1);
            String rule =
                    check.endsWith(CHECK_SUFFIX) ? check.substring(0, check.length() - CHECK_SUFFIX.length()) : check;
            found.add(new Violation(file.getName(0).toString(), rule, file, event.getLine(), event.getMessage()));
        }

        @Override
        public void addException(AuditEvent event, Throwable cause) {
            throw new IllegalStateException(event.getFileName(), cause);
        }

        @Override
        public void auditStarted(AuditEvent event) {
            // nothing to prepare
        }

        @Override
        public void auditFinished(AuditEvent event) {
            // nothing to close
        }

        @Override
        public void fileStarted(AuditEvent event) {
            // only violations count
        }

        @Override
        public void fileFinished(AuditEvent event) {
            // only violations count
        }
    }
}

package org.woadvale.operator;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Scanner;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;

/** The subcommands list, check and run. */
final class OperatorCommands {
    private OperatorCommands() {}

    interface Command {
        int execute(Consumer<String> out) throws ServiceException;
    }

    @com.github.rvesse.airline.annotations.Command(name = "list", description = "Lists the shipped runbooks")
    public static final class ListRunbooks implements Command {
        @Override
        public int execute(Consumer<String> out) throws ServiceException {
            for (String name : Runbooks.SHIPPED) {
                Runbook runbook = Runbooks.load(name);
                out.accept(name + ": " + runbook.purpose() + " Needs: " + new TreeMap<>(runbook.needs()));
            }
            return 0;
        }
    }

    @com.github.rvesse.airline.annotations.Command(name = "check", description = "Checks a runbook")
    public static final class Check implements Command {
        @Required
        @Arguments(description = "A shipped runbook's name, or a file")
        private String runbook;

        @Override
        public int execute(Consumer<String> out) throws ServiceException {
            out.accept(Runbooks.load(runbook).name() + ": "
                    + Runbooks.load(runbook).steps().size() + " steps, valid.");
            return 0;
        }
    }

    @com.github.rvesse.airline.annotations.Command(name = "run", description = "Runs a runbook")
    public static final class Run implements Command {
        @Required
        @Arguments(description = "A shipped runbook's name, or a file")
        private String runbook;

        @Option(
                name = "--set",
                title = "NAME=VALUE",
                description = "Sets a variable; @FILE reads the value from a file")
        private List<String> assignments = new ArrayList<>();

        @Option(
                name = "--dry-run",
                description = "Checks the required conditions and prints the steps without changing anything")
        private boolean dryRun;

        @Option(name = "--yes", description = "Treats every manual step as done")
        private boolean yes;

        @Option(name = "--record", title = "FILE", description = "Appends a record of the run to a file")
        private String record = "";

        @Option(name = "--operator-key", title = "SECRET", description = "Operator key, if the core requires one")
        private String key = "";

        @Override
        public int execute(Consumer<String> out) throws ServiceException {
            RunbookRunner runbookRunner = new RunbookRunner(new Http()::send, new Terminal(out, yes), key, dryRun);
            boolean succeeded = runbookRunner.run(Runbooks.load(runbook), values());
            if (!record.isEmpty()) {
                try {
                    List<String> lines = new ArrayList<>(List.of("# " + Instant.now() + " " + runbook));
                    lines.addAll(runbookRunner.record());
                    Files.write(Path.of(record), lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                } catch (IOException e) {
                    throw new UnavailableException("Cannot write the record of the run: " + e.getMessage());
                }
            }
            return succeeded ? 0 : 1;
        }

        private Map<String, String> values() throws ServiceException {
            Map<String, String> out = new HashMap<>();
            for (String assignment : assignments) {
                int i = assignment.indexOf('=');
                if (i < 1) {
                    throw new InvalidRequestException("--set takes NAME=VALUE, not " + assignment + ".");
                }
                String value = assignment.substring(i + 1);
                try {
                    out.put(
                            assignment.substring(0, i),
                            value.startsWith("@") ? Files.readString(Path.of(value.substring(1))) : value);
                } catch (IOException e) {
                    throw new InvalidRequestException("Cannot read " + value.substring(1) + ".");
                }
            }
            return out;
        }
    }

    /** The transport over the JDK's HTTP client. */
    private static final class Http {
        private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(8);
        private final HttpClient client =
                HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

        HttpTransport.HttpResult send(String method, String url, Map<String, String> headers, byte[] body)
                throws IOException {
            try {
                HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(url))
                        .timeout(REQUEST_TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
                headers.forEach(builder::header);
                HttpResponse<byte[]> response = client.send(builder.build(), HttpResponse.BodyHandlers.ofByteArray());
                Map<String, String> firstValues = new HashMap<>();
                response.headers()
                        .map()
                        .forEach((k, value) -> firstValues.put(k.toLowerCase(Locale.ROOT), value.get(0)));
                return new HttpTransport.HttpResult(response.statusCode(), firstValues, response.body());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted");
            } catch (IllegalArgumentException e) {
                throw new IOException(e.getMessage());
            }
        }
    }

    private record Terminal(Consumer<String> out, boolean yes) implements OperatorIo {
        @Override
        public boolean confirmDone(String instruction) {
            out.accept("BY HAND: " + instruction + (yes ? "" : "  [press Enter when done, n to stop]"));
            return yes || !"n".equals(new Scanner(System.in).nextLine().trim());
        }

        @Override
        public void print(String line) {
            out.accept(line);
        }

        @Override
        public Duration now() {
            return Duration.ofNanos(System.nanoTime());
        }

        @Override
        public void sleep(Duration duration) {
            LockSupport.parkNanos(duration.toNanos());
        }
    }
}

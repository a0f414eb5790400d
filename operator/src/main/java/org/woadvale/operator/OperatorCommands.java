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

/** list, check and run. */
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
        private String book;

        @Override
        public int execute(Consumer<String> out) throws ServiceException {
            out.accept(Runbooks.load(book).name() + ": "
                    + Runbooks.load(book).steps().size() + " steps, valid.");
            return 0;
        }
    }

    @com.github.rvesse.airline.annotations.Command(name = "run", description = "Runs a runbook")
    public static final class Run implements Command {
        @Required
        @Arguments(description = "A shipped runbook's name, or a file")
        private String book;

        @Option(name = "--set", title = "NAME=VALUE", description = "A value; @FILE takes a file's content")
        private List<String> set = new ArrayList<>();

        @Option(name = "--dry-run", description = "Checks what must hold and shows the steps, changes nothing")
        private boolean dry;

        @Option(name = "--yes", description = "Takes every step by hand as done")
        private boolean yes;

        @Option(name = "--record", title = "FILE", description = "Appends what was done to a file")
        private String record = "";

        @Option(name = "--operator-key", title = "SECRET", description = "Operator key, if the core asks for one")
        private String key = "";

        @Override
        public int execute(Consumer<String> out) throws ServiceException {
            RunbookRunner runbookRunner = new RunbookRunner(new Http()::send, new Terminal(out, yes), key, dry);
            boolean ok = runbookRunner.run(Runbooks.load(book), values());
            if (!record.isEmpty()) {
                try {
                    List<String> lines = new ArrayList<>(List.of("# " + Instant.now() + " " + book));
                    lines.addAll(runbookRunner.record());
                    Files.write(Path.of(record), lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                } catch (IOException e) {
                    throw new UnavailableException("The record was not written: " + e.getMessage());
                }
            }
            return ok ? 0 : 1;
        }

        private Map<String, String> values() throws ServiceException {
            Map<String, String> out = new HashMap<>();
            for (String assignment : set) {
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

    /** The real wire. */
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
                Map<String, String> map = new HashMap<>();
                response.headers().map().forEach((k, value) -> map.put(k.toLowerCase(Locale.ROOT), value.get(0)));
                return new HttpTransport.HttpResult(response.statusCode(), map, response.body());
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
        public boolean confirmDone(String what) {
            out.accept("BY HAND: " + what + (yes ? "" : "  [press Enter when done, n to stop]"));
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

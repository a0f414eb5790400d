package org.woadvale.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.ratelimit.TokenMessages;
import org.woadvale.common.replication.BootstrapMessages;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.SnapshotMessages;
import org.woadvale.common.rpc.AtMostOnceRequest;
import org.woadvale.common.rpc.RpcRequest;
import org.woadvale.controlplane.api.ControlApiMessages;
import org.woadvale.dataplane.queue.MessageCommands;

/** docs/calls.md has a row for each call with the retry semantics of its type, and names only existing tests. */
class CallsTableTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern TEST = Pattern.compile("`([A-Z][A-Za-z]*Test)(?:\\.([a-z][A-Za-z0-9]*))?`");
    private static final Pattern ENDPOINT = Pattern.compile("\"((?:GET|PUT|POST|DELETE) v1/[a-z]+|/-/[a-z-]+)");
    private static final Pattern CLIENT = Pattern.compile("\\bHttpClient\\.(?:create|newBuilder|newHttpClient)\\(");

    private static String page() throws IOException {
        return Files.readString(ROOT.resolve("docs").resolve("calls.md"));
    }

    private static List<Path> sources(String kind) throws IOException {
        try (Stream<Path> all = Files.walk(ROOT)) {
            return all.filter(path -> path.toString().contains("src/" + kind + "/java")
                            && path.toString().endsWith(".java"))
                    .toList();
        }
    }

    private static List<Class<?>> requests() {
        List<Class<?>> out = new ArrayList<>();
        out.addAll(ReplicationMessages.types());
        out.addAll(SnapshotMessages.types());
        out.addAll(BootstrapMessages.types());
        out.addAll(ControlMessages.types());
        out.addAll(ControlMessages.typesAddedLater());
        out.addAll(TokenMessages.types());
        out.addAll(MessageCommands.types());
        out.addAll(ControlApiMessages.types());
        out.removeIf(c -> !RpcRequest.class.isAssignableFrom(c));
        return out;
    }

    private static String name(Class<?> type) {
        return type.getEnclosingClass().getSimpleName() + "." + type.getSimpleName();
    }

    @Test
    void everyRequestTypeHasARowWithItsRetrySemantics() throws IOException {
        List<String> wrong = new ArrayList<>();
        assertTrue(requests().size() > 25, "only " + requests().size() + " found");
        for (Class<?> type : requests()) {
            String kind = AtMostOnceRequest.class.isAssignableFrom(type) ? "at most once" : "repeatable";
            Pattern row =
                    Pattern.compile("(?m)^\\| `" + Pattern.quote(name(type)) + "` \\| [^|]+ \\| " + kind + " \\|");
            if (!row.matcher(page()).find()) {
                wrong.add(name(type) + ", " + kind);
            }
        }
        assertEquals(List.of(), wrong);
    }

    /** A row for a removed request type would document a guarantee that no code provides. */
    @Test
    void everyRequestRowNamesAnExistingType() throws IOException {
        List<String> existing = requests().stream().map(CallsTableTest::name).toList();
        Matcher matcher =
                Pattern.compile("(?m)^\\| `([A-Z][A-Za-z]+\\.[A-Z][A-Za-z]+)` ").matcher(page());
        List<String> stale = new ArrayList<>();
        while (matcher.find()) {
            if (!existing.contains(matcher.group(1))) {
                stale.add(matcher.group(1));
            }
        }
        assertEquals(List.of(), stale);
    }

    @Test
    void everyHttpEndpointAndClientHasARow() throws IOException {
        String page = page();
        TreeSet<String> endpoints = new TreeSet<>();
        TreeSet<String> clients = new TreeSet<>();
        for (Path path : sources("main")) {
            String source = Files.readString(path);
            if (path.toString().contains("testkit")) {
                continue;
            }
            if (!path.toString().contains("operator")) {
                ENDPOINT.matcher(source).results().forEach(match -> endpoints.add(match.group(1)));
            }
            if (CLIENT.matcher(source).find()) {
                clients.add(path.getFileName().toString().replace(".java", ""));
            }
        }
        assertTrue(endpoints.size() > 15 && clients.size() >= 3, endpoints + " " + clients);
        endpoints.removeIf(x -> page.contains(x + "`"));
        clients.removeIf(x -> page.contains("| `" + x + "` "));
        assertEquals(List.of(), List.copyOf(endpoints));
        assertEquals(List.of(), List.copyOf(clients));
    }

    @Test
    void everyTestNamedExists() throws IOException {
        List<Path> tests = sources("test");
        List<String> missing = new ArrayList<>();
        Matcher matcher = TEST.matcher(page());
        int named = 0;
        while (matcher.find()) {
            named++;
            boolean found = false;
            for (Path path : tests) {
                found |= path.getFileName().toString().equals(matcher.group(1) + ".java")
                        && (matcher.group(2) == null
                                || Files.readString(path).contains("void " + matcher.group(2) + "("));
            }
            if (!found) {
                missing.add(matcher.group());
            }
        }
        assertTrue(named > 50, "only " + named + " found");
        assertEquals(List.of(), missing);
    }
}

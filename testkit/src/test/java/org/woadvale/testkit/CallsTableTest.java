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
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.SnapshotMessages;
import org.woadvale.common.rpc.AtMostOnceRequest;
import org.woadvale.common.rpc.RpcRequest;
import org.woadvale.controlplane.api.OperatorHttpHandler;
import org.woadvale.dataplane.queue.MessageCommands;

/** docs/calls.md has a row for each call, says of it what its type says, and names only tests that there are. */
class CallsTableTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern TEST = Pattern.compile("`([A-Z][A-Za-z]*Test)(?:\\.([a-z][A-Za-z0-9]*))?`");
    private static final Pattern PLACE = Pattern.compile("\"((?:GET|PUT|POST|DELETE) v1/[a-z]+|/-/[a-z-]+)");
    private static final Pattern CLIENT = Pattern.compile("\\bHttpClient\\.(?:create|newBuilder|newHttpClient)\\(");

    private static String page() throws IOException {
        return Files.readString(ROOT.resolve("docs").resolve("calls.md"));
    }

    private static List<Path> sources(String kind) throws IOException {
        try (Stream<Path> all = Files.walk(ROOT)) {
            return all.filter(p -> p.toString().contains("src/" + kind + "/java")
                            && p.toString().endsWith(".java"))
                    .toList();
        }
    }

    private static List<Class<?>> requests() {
        List<Class<?>> out = new ArrayList<>();
        out.addAll(ReplicationMessages.types());
        out.addAll(SnapshotMessages.types());
        out.addAll(ControlMessages.types());
        out.addAll(ControlMessages.later());
        out.addAll(TokenMessages.types());
        out.addAll(MessageCommands.types());
        out.addAll(OperatorHttpHandler.types());
        out.removeIf(c -> !RpcRequest.class.isAssignableFrom(c));
        return out;
    }

    private static String name(Class<?> type) {
        return type.getEnclosingClass().getSimpleName() + "." + type.getSimpleName();
    }

    @Test
    void everyRequestTypeHasItsRowAndTheRowSaysWhatTheTypeSays() throws IOException {
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

    /** A row of a request that is gone would promise what nobody keeps. */
    @Test
    void everyRowOfARequestIsOfOneThatThereIs() throws IOException {
        List<String> known = requests().stream().map(CallsTableTest::name).toList();
        Matcher m =
                Pattern.compile("(?m)^\\| `([A-Z][A-Za-z]+\\.[A-Z][A-Za-z]+)` ").matcher(page());
        List<String> stale = new ArrayList<>();
        while (m.find()) {
            if (!known.contains(m.group(1))) {
                stale.add(m.group(1));
            }
        }
        assertEquals(List.of(), stale);
    }

    @Test
    void everyHttpPlaceAndClientHasItsRow() throws IOException {
        String page = page();
        TreeSet<String> places = new TreeSet<>();
        TreeSet<String> clients = new TreeSet<>();
        for (Path p : sources("main")) {
            String source = Files.readString(p);
            if (p.toString().contains("testkit")) {
                continue;
            }
            if (!p.toString().contains("operator")) {
                PLACE.matcher(source).results().forEach(r -> places.add(r.group(1)));
            }
            if (CLIENT.matcher(source).find()) {
                clients.add(p.getFileName().toString().replace(".java", ""));
            }
        }
        assertTrue(places.size() > 15 && clients.size() >= 3, places + " " + clients);
        places.removeIf(x -> page.contains(x + "`"));
        clients.removeIf(x -> page.contains("| `" + x + "` "));
        assertEquals(List.of(), List.copyOf(places));
        assertEquals(List.of(), List.copyOf(clients));
    }

    @Test
    void everyTestNamedExists() throws IOException {
        List<Path> tests = sources("test");
        List<String> missing = new ArrayList<>();
        Matcher m = TEST.matcher(page());
        int named = 0;
        while (m.find()) {
            named++;
            boolean found = false;
            for (Path p : tests) {
                found |= p.getFileName().toString().equals(m.group(1) + ".java")
                        && (m.group(2) == null || Files.readString(p).contains("void " + m.group(2) + "("));
            }
            if (!found) {
                missing.add(m.group());
            }
        }
        assertTrue(named > 50, "only " + named + " found");
        assertEquals(List.of(), missing);
    }
}

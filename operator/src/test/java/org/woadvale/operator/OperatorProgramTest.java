package org.woadvale.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;

class OperatorProgramTest {
    /** A scripted cluster: responds by method and URL and records all requests; its clock advances only in sleep. */
    private static final class Script implements HttpTransport, OperatorIo {
        final Map<String, List<HttpResult>> responses = new HashMap<>();
        final List<String> requests = new ArrayList<>();
        final List<String> bodies = new ArrayList<>();
        final List<String> printed = new ArrayList<>();
        boolean confirms = true;
        Duration now = Duration.ZERO;

        Script on(String request, int status, String body) {
            responses
                    .computeIfAbsent(request, k -> new ArrayList<>())
                    .add(new HttpResult(status, Map.of("etag", "\"4\""), body.getBytes(StandardCharsets.UTF_8)));
            return this;
        }

        @Override
        public HttpResult send(String method, String url, Map<String, String> headers, byte[] body) throws IOException {
            String request = method + " " + url;
            requests.add(request + (headers.containsKey("If-Match") ? " base " + headers.get("If-Match") : ""));
            bodies.add(new String(body, StandardCharsets.UTF_8));
            List<HttpResult> remaining = responses.getOrDefault(request, List.of());
            if (remaining.isEmpty()) {
                throw new IOException("connection refused");
            }
            return remaining.size() > 1 ? remaining.remove(0) : remaining.get(0);
        }

        @Override
        public boolean confirmDone(String instruction) {
            return confirms;
        }

        @Override
        public void print(String line) {
            printed.add(line);
        }

        @Override
        public Duration now() {
            return now;
        }

        @Override
        public void sleep(Duration duration) {
            now = now.plus(duration);
        }

        boolean run(String runbook, boolean dry, Map<String, String> values) throws ServiceException {
            return new RunbookRunner(this, this, "", dry).run(Runbooks.load(runbook), values);
        }
    }

    private static final Map<String, String> KEY =
            Map.of("lighthouse", "http://l", "intake", "http://i", "key", "old", "request", "r1");
    private static final String CONFIGURATION = "{\"keys\":{\"old\":{},\"new\":{}},\"lanes\":{}}";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "put-layout",
                "withdraw-key",
                "rolling-restart",
                "replace-store",
                "replace-lighthouse",
                "drain-processor",
                "check-after-outage"
            })
    void everyShippedRunbookIsValidAndReportsMissingValues(String name) throws ServiceException {
        assertEquals(name, Runbooks.load(name).name());
        Script script = new Script();
        assertFalse(script.run(name, true, Map.of()));
        assertTrue(script.printed.get(0).startsWith("STOP: missing values"), script.printed.toString());
        assertEquals(List.of(), script.requests);
    }

    @Test
    void withdrawKeyRemovesOnlyThatKey() throws ServiceException {
        Script script = new Script()
                .on("GET http://l/v1/layout", 200, CONFIGURATION)
                .on("PUT http://l/v1/layout", 200, "{\"version\":5}")
                .on("GET http://i/v1/status", 200, "{\"layout\":4}")
                .on("GET http://i/v1/status", 200, "{\"layout\":5}");
        assertTrue(script.run("withdraw-key", false, KEY), script.printed.toString());
        assertTrue(script.requests.contains("PUT http://l/v1/layout base \"4\""), script.requests.toString());
        assertEquals("{\"keys\":{\"new\":{}},\"lanes\":{}}", script.bodies.get(1));
    }

    @Test
    void staleBaseVersionStopsTheRunWithItsReason() throws ServiceException {
        Script script = new Script()
                .on("GET http://l/v1/layout", 200, CONFIGURATION)
                .on("PUT http://l/v1/layout", 412, "{\"kind\":\"stale_base\"}");
        assertFalse(script.run("withdraw-key", false, KEY));
        assertTrue(script.printed.get(script.printed.size() - 1).contains("stale_base"), script.printed.toString());
        assertEquals(2, script.requests.size(), "nothing may follow the failed step");
    }

    @Test
    void actionIsRetriedAfterARetryableError() throws ServiceException {
        Script script = new Script()
                .on("GET http://l/v1/layout", 200, CONFIGURATION)
                .on("PUT http://l/v1/layout", 503, "{}")
                .on("PUT http://l/v1/layout", 504, "{}")
                .on("PUT http://l/v1/layout", 200, "{\"version\":5}")
                .on("GET http://i/v1/status", 200, "{\"layout\":5}");
        assertTrue(script.run("withdraw-key", false, KEY), script.printed.toString());
        assertEquals(
                3,
                script.requests.stream()
                        .filter(request -> request.startsWith("PUT"))
                        .count());
    }

    @Test
    void dryRunChangesNothing() throws ServiceException {
        Script script = new Script().on("GET http://l/v1/layout", 200, CONFIGURATION);
        assertTrue(script.run("withdraw-key", true, KEY));
        assertEquals(List.of("GET http://l/v1/layout"), script.requests);
    }

    @Test
    void variablesAreSubstitutedInPointers() throws ServiceException {
        Script script = new Script()
                .on("GET http://l/v1/services/s/processors", 200, "{\"p1\":{\"address\":\"http://p\"}}")
                .on("PUT http://l/v1/services/s/processors/p1", 200, "{}")
                .on("DELETE http://l/v1/services/s/processors/p1", 200, "{}");
        assertTrue(
                script.run(
                        "drain-processor",
                        false,
                        Map.of("lighthouse", "http://l", "service", "s", "processor", "p1", "address", "http://p")),
                script.printed.toString());
    }

    @Test
    void waitStepTimesOut() throws ServiceException {
        Script script = new Script()
                .on("GET http://l/v1/layout", 200, CONFIGURATION)
                .on("PUT http://l/v1/layout", 200, "{\"version\":5}")
                .on("GET http://i/v1/status", 200, "{\"layout\":4}");
        assertFalse(script.run("withdraw-key", false, KEY));
        assertTrue(
                script.printed.get(script.printed.size() - 1).contains("not within 5000 ms"),
                script.printed.toString());
    }

    @Test
    void rollingRestartProceedsNodeByNode() throws ServiceException {
        Script script = new Script();
        for (String node : List.of("http://a", "http://b")) {
            script.on("GET " + node + "/v1/readiness", 200, "{}")
                    .on("POST " + node + "/v1/drain", 200, "{\"drained\":false}")
                    .on("POST " + node + "/v1/drain", 200, "{\"drained\":true}");
        }
        assertTrue(
                script.run("rolling-restart", false, Map.of("nodes", "http://a,http://b")), script.printed.toString());
        assertEquals(
                List.of(
                        "GET http://a/v1/readiness",
                        "POST http://a/v1/drain",
                        "POST http://a/v1/drain",
                        "GET http://a/v1/readiness",
                        "GET http://b/v1/readiness",
                        "POST http://b/v1/drain",
                        "POST http://b/v1/drain",
                        "GET http://b/v1/readiness"),
                script.requests);
        Script declining = new Script()
                .on("GET http://a/v1/readiness", 200, "{}")
                .on("POST http://a/v1/drain", 200, "{\"drained\":true}");
        declining.confirms = false;
        assertFalse(declining.run("rolling-restart", false, Map.of("nodes", "http://a,http://b")));
    }

    @Test
    void invalidRunbookIsRejectedWithEveryFault(@TempDir Path dir) throws IOException {
        Path path = dir.resolve("b.json");
        Files.writeString(path, """
            {"name":"b","purpose":"p","steps":[{"title":"${nowhere}","kind":"ASK"},{"title":"t","kind":"REMOVE"}]}""");
        ServiceException failure = assertThrows(ServiceException.class, () -> Runbooks.load(path.toString()));
        assertEquals(3, failure.details().size(), failure.details().toString());
        List<String> out = new ArrayList<>();
        assertEquals(2, OperatorProgram.main(new String[] {"check", path.toString()}, out::add));
        assertEquals(0, OperatorProgram.main(new String[] {"list"}, out::add));
        assertEquals(2, OperatorProgram.main(new String[] {"run", "nothing-such"}, out::add));
    }
}

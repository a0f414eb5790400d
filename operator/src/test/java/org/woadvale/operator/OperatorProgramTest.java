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
    /** A scripted core: answers by method and path, notes what it was asked; its clock moves only by resting. */
    private static final class Script implements HttpTransport, OperatorIo {
        final Map<String, List<HttpResult>> answers = new HashMap<>();
        final List<String> asked = new ArrayList<>();
        final List<String> bodies = new ArrayList<>();
        final List<String> said = new ArrayList<>();
        boolean willing = true;
        Duration now = Duration.ZERO;

        Script on(String what, int status, String body) {
            answers.computeIfAbsent(what, k -> new ArrayList<>())
                    .add(new HttpResult(status, Map.of("etag", "\"4\""), body.getBytes(StandardCharsets.UTF_8)));
            return this;
        }

        @Override
        public HttpResult send(String method, String url, Map<String, String> headers, byte[] body) throws IOException {
            String what = method + " " + url;
            asked.add(what + (headers.containsKey("If-Match") ? " base " + headers.get("If-Match") : ""));
            bodies.add(new String(body, StandardCharsets.UTF_8));
            List<HttpResult> left = answers.getOrDefault(what, List.of());
            if (left.isEmpty()) {
                throw new IOException("connection refused");
            }
            return left.size() > 1 ? left.remove(0) : left.get(0);
        }

        @Override
        public boolean confirmDone(String what) {
            return willing;
        }

        @Override
        public void print(String line) {
            said.add(line);
        }

        @Override
        public Duration now() {
            return now;
        }

        @Override
        public void sleep(Duration d) {
            now = now.plus(d);
        }

        boolean run(String controlNode, boolean dry, Map<String, String> values) throws ServiceException {
            return new RunbookRunner(this, this, "", dry).run(Runbooks.load(controlNode), values);
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
    void everyShippedRunbookIsValidAndAsksForWhatItNeeds(String name) throws ServiceException {
        assertEquals(name, Runbooks.load(name).name());
        Script script = new Script();
        assertFalse(script.run(name, true, Map.of()));
        assertTrue(script.said.get(0).startsWith("STOP: missing values"), script.said.toString());
        assertEquals(List.of(), script.asked);
    }

    @Test
    void withdrawnKeyLeavesTheRestAsItWas() throws ServiceException {
        Script script = new Script()
                .on("GET http://l/v1/layout", 200, CONFIGURATION)
                .on("PUT http://l/v1/layout", 200, "{\"version\":5}")
                .on("GET http://i/v1/status", 200, "{\"layout\":4}")
                .on("GET http://i/v1/status", 200, "{\"layout\":5}");
        assertTrue(script.run("withdraw-key", false, KEY), script.said.toString());
        assertTrue(script.asked.contains("PUT http://l/v1/layout base \"4\""), script.asked.toString());
        assertEquals("{\"keys\":{\"new\":{}},\"lanes\":{}}", script.bodies.get(1));
    }

    @Test
    void lostRaceStopsTheRunAndSaysWhy() throws ServiceException {
        Script script = new Script()
                .on("GET http://l/v1/layout", 200, CONFIGURATION)
                .on("PUT http://l/v1/layout", 412, "{\"kind\":\"stale_base\"}");
        assertFalse(script.run("withdraw-key", false, KEY));
        assertTrue(script.said.get(script.said.size() - 1).contains("stale_base"), script.said.toString());
        assertEquals(2, script.asked.size(), "nothing may follow the failed step");
    }

    @Test
    void actionThatIsToComeBackLaterIsAskedAgain() throws ServiceException {
        Script script = new Script()
                .on("GET http://l/v1/layout", 200, CONFIGURATION)
                .on("PUT http://l/v1/layout", 503, "{}")
                .on("PUT http://l/v1/layout", 504, "{}")
                .on("PUT http://l/v1/layout", 200, "{\"version\":5}")
                .on("GET http://i/v1/status", 200, "{\"layout\":5}");
        assertTrue(script.run("withdraw-key", false, KEY), script.said.toString());
        assertEquals(3, script.asked.stream().filter(a -> a.startsWith("PUT")).count());
    }

    @Test
    void dryRunChangesNothing() throws ServiceException {
        Script script = new Script().on("GET http://l/v1/layout", 200, CONFIGURATION);
        assertTrue(script.run("withdraw-key", true, KEY));
        assertEquals(List.of("GET http://l/v1/layout"), script.asked);
    }

    @Test
    void valuesAreFilledIntoPointersToo() throws ServiceException {
        Script script = new Script()
                .on("GET http://l/v1/services/s/processors", 200, "{\"p1\":{\"address\":\"http://p\"}}")
                .on("PUT http://l/v1/services/s/processors/p1", 200, "{}")
                .on("DELETE http://l/v1/services/s/processors/p1", 200, "{}");
        assertTrue(
                script.run(
                        "drain-processor",
                        false,
                        Map.of("lighthouse", "http://l", "service", "s", "processor", "p1", "address", "http://p")),
                script.said.toString());
    }

    @Test
    void waitHasADeadline() throws ServiceException {
        Script script = new Script()
                .on("GET http://l/v1/layout", 200, CONFIGURATION)
                .on("PUT http://l/v1/layout", 200, "{\"version\":5}")
                .on("GET http://i/v1/status", 200, "{\"layout\":4}");
        assertFalse(script.run("withdraw-key", false, KEY));
        assertTrue(script.said.get(script.said.size() - 1).contains("not within 5000 ms"), script.said.toString());
    }

    @Test
    void rollingRestartFinishesOneNodeBeforeTheNext() throws ServiceException {
        Script script = new Script();
        for (String n : List.of("http://a", "http://b")) {
            script.on("GET " + n + "/v1/readiness", 200, "{}")
                    .on("POST " + n + "/v1/drain", 200, "{\"drained\":false}")
                    .on("POST " + n + "/v1/drain", 200, "{\"drained\":true}");
        }
        assertTrue(script.run("rolling-restart", false, Map.of("nodes", "http://a,http://b")), script.said.toString());
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
                script.asked);
        Script refusing = new Script()
                .on("GET http://a/v1/readiness", 200, "{}")
                .on("POST http://a/v1/drain", 200, "{\"drained\":true}");
        refusing.willing = false;
        assertFalse(refusing.run("rolling-restart", false, Map.of("nodes", "http://a,http://b")));
    }

    @Test
    void badRunbookFilesAreRefusedWithEveryFault(@TempDir Path dir) throws IOException {
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

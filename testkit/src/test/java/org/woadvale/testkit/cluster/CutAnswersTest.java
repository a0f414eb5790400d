package org.woadvale.testkit.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.dataplane.DataPlaneProgram;
import org.woadvale.testkit.stub.NeverList;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** How callers handle truncated and incomplete responses; the intake is a plain server socket. */
class CutAnswersTest {
    private static final String ACCEPTED_BODY =
            "{\"accepted\":true,\"handle\":\"m1-1\",\"id\":\"c1\",\"repeated\":true}";

    /** Answers one request per connection, with a complete or a truncated response, and closes the connection. */
    private static final class SocketIntake implements AutoCloseable {
        private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        private final ConcurrentLinkedQueue<String> requests = new ConcurrentLinkedQueue<>();
        private final Function<String, byte[]> answers;

        SocketIntake(Function<String, byte[]> answers) throws IOException {
            this.answers = answers;
            Thread thread = new Thread(this::serve, "plain-socket-intake");
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private void serve() {
            while (!socket.isClosed()) {
                try (Socket s = socket.accept()) {
                    String line = request(s.getInputStream());
                    requests.add(line);
                    s.getOutputStream().write(answers.apply(line));
                } catch (IOException e) {
                    // the caller or, at the end, the test has closed the socket
                }
            }
        }

        /** Reads the head and body of a request; returns the request line without the version. */
        private static String request(InputStream in) throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int b = in.read();
                if (b < 0) {
                    throw new IOException("incomplete request");
                }
                head.append((char) b);
            }
            int length = head.toString()
                    .lines()
                    .map(l -> l.toLowerCase(Locale.ROOT))
                    .filter(l -> l.startsWith("content-length:"))
                    .map(l -> Integer.parseInt(l.substring(15).trim()))
                    .findFirst()
                    .orElse(0);
            in.readNBytes(length);
            return head.substring(0, head.indexOf(" HTTP/"));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A response with {@code Content-Length}, as the gateway sends it. */
    private static byte[] answer(String status, String body) {
        return ("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void responseTruncatedAtAnyByteIsAFailure() throws IOException {
        byte[] response = answer("202 Accepted", ACCEPTED_BODY);
        Client client = new Client();
        try (SocketIntake intake =
                new SocketIntake(line -> Arrays.copyOf(response, Integer.parseInt(line.substring(6))))) {
            for (int i = 0; i < response.length; i++) {
                String path = "/" + i;
                assertThrows(
                        CompletionException.class,
                        () -> client.send("POST", intake.address(), path, "", new byte[3], Map.of())
                                .join(),
                        "cut after " + i + " of " + response.length);
            }
            Client.HttpAnswer answer = client.send(
                            "POST", intake.address(), "/" + response.length, "", new byte[3], Map.of())
                    .join();
            assertEquals("m1-1", answer.json().path("handle").asText());
        }
    }

    /** Answers the repeated submission completely, and a GET without a handle with a list, as an intake does. */
    private static byte[] respond(String first, String line, long submissions) {
        if (line.startsWith("POST")) {
            return answer("202 Accepted", submissions == 1 ? first : ACCEPTED_BODY);
        }
        return answer(
                "200 OK",
                line.equals("GET /v1/messages/m1-1")
                        ? "{\"handle\":\"m1-1\",\"state\":\"failed\",\"note\":\"refused\",\"lane\":\"hold\"}"
                        : "{\"messages\":[]}");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{}",
                "{\"accepted\":true}",
                "{\"accepted\":true,\"handle\":\"\"}",
                "{\"handle\":null}",
                "{\"accepted\":tr"
            })
    void acceptanceWithoutHandleIsRetriedAndReported(String first, @TempDir Path root) throws Exception {
        AtomicLong submissions = new AtomicLong();
        try (SocketIntake intake = new SocketIntake(
                        l -> respond(first, l, l.startsWith("POST") ? submissions.incrementAndGet() : 0));
                Fleet fleet = new Fleet(Shape.SMALL, root);
                StubEnvironment environment =
                        new StubEnvironment(fleet, Shape.SMALL, new TestConfiguration(8, 2, 45, 60, 26))) {
            fleet.intakes.clear();
            fleet.intakes.add(new NodeProcess(
                    "bare",
                    DataPlaneProgram.class.getName(),
                    root,
                    Fleet.free(),
                    intake.address(),
                    "hall0",
                    List.of(),
                    List.of("intake"),
                    false,
                    false));
            Load load = new Load(environment, fleet, 5);
            Observations.Submitted submitted = load.submitRandom(0).join();
            assertTrue(load.settle(Duration.ofSeconds(3)), () -> load.states() + " " + load.unended());
            assertEquals(Map.of("failed", 1L), load.states());
            assertEquals(Observations.SubmissionOutcome.ACCEPTED, submitted.outcome());
            assertEquals("m1-1", submitted.handle());
            assertEquals(2, submissions.get());
            assertEquals(1, load.broken().size(), load.broken().toString());
            assertTrue(
                    load.broken().get(0).endsWith(" " + first.length() + " bytes: " + first),
                    load.broken().get(0));
            assertTrue(intake.requests.stream().noneMatch("GET /v1/messages/"::equals), intake.requests.toString());
            assertTrue(new NeverList(environment.observations)
                    .violations().stream().noneMatch(v -> v.contains("never shown")));
        }
    }

    @Test
    void responseForAnotherResourceIsNotAMessageStatus(@TempDir Path root) throws Exception {
        try (SocketIntake intake = new SocketIntake(l -> l.startsWith("POST")
                        ? answer("202 Accepted", ACCEPTED_BODY)
                        : answer("200 OK", "{\"messages\":[]}"));
                Fleet fleet = new Fleet(Shape.SMALL, root);
                StubEnvironment environment =
                        new StubEnvironment(fleet, Shape.SMALL, new TestConfiguration(8, 2, 45, 60, 26))) {
            fleet.intakes.clear();
            fleet.intakes.add(new NodeProcess(
                    "bare",
                    DataPlaneProgram.class.getName(),
                    root,
                    Fleet.free(),
                    intake.address(),
                    "hall0",
                    List.of(),
                    List.of("intake"),
                    false,
                    false));
            Load load = new Load(environment, fleet, 5);
            load.submitRandom(0).join();
            assertEquals(false, load.settle(Duration.ofMillis(300)));
            assertEquals(Map.of(), load.states());
            assertTrue(
                    load.unended().get("m1-1").startsWith("200 "),
                    load.unended().toString());
        }
    }
}

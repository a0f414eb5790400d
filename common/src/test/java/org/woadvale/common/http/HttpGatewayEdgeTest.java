package org.woadvale.common.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.woadvale.common.LoopbackPorts;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Sends malformed and unusual requests byte for byte. Guards against request smuggling and truncated bodies: a
 * malformed request is rejected, its connection is closed, and nothing reaches the application.
 */
class HttpGatewayEdgeTest {
    private final List<String> received = Collections.synchronizedList(new ArrayList<>());
    private HttpGateway gateway;
    private int port;

    @BeforeEach
    void start() throws Exception {
        port = LoopbackPorts.free();
        gateway = new HttpGateway("127.0.0.1:" + port, 1000, request -> {
            received.add(request.path() + " " + new String(request.body(), StandardCharsets.ISO_8859_1));
            return Mono.just(new Response(200, Map.of("X-Path", request.path()), new byte[] {'o', 'k'}));
        });
        gateway.start();
    }

    @AfterEach
    void stop() {
        gateway.stop();
    }

    /** Sends the text and returns everything that the gateway sends until it closes the connection. */
    private String exchange(String text, boolean halfClose) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            if (halfClose) {
                socket.shutdownOutput();
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static List<String> statuses(String responses) {
        Matcher matcher = Pattern.compile("HTTP/1\\.1 ([0-9]{3})").matcher(responses);
        List<String> out = new ArrayList<>();
        while (matcher.find()) {
            out.add(matcher.group(1));
        }
        return out;
    }

    /** The gateway rejects the request once, closes the connection and passes nothing to the application. */
    private void assertRejected(String description, String text) throws IOException {
        String responses = exchange(text, false);
        assertTrue(
                statuses(responses).size() == 1 && statuses(responses).get(0).startsWith("4"),
                description + ": " + responses);
        assertEquals(List.of(), received, description);
    }

    private static String post(String headers, String body) {
        return "POST /a HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
    }

    @Test
    void conflictingContentLengthsAreRejected() throws IOException {
        assertRejected("two lengths", post("Content-Length: 5\r\nContent-Length: 6\r\n", "hello!"));
        assertRejected("a list of lengths", post("Content-Length: 5, 6\r\n", "hello!"));
    }

    @Test
    void contentLengthWithChunkedEncodingIsRejected() throws IOException {
        assertRejected("both", post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"));
        assertRejected(
                "both, other order",
                post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "5\r\nhello\r\n0\r\n\r\n"));
    }

    @Test
    void invalidContentLengthsAreRejected() throws IOException {
        for (String length : List.of("-1", "five", "0x5", "+5", "99999999999999999999")) {
            assertRejected("length " + length, post("Content-Length: " + length + "\r\n", "hello"));
        }
    }

    /** Guards against an undecodable chunk ending the body, so that the application receives a truncated body. */
    @Test
    void malformedChunksAreRejected() throws IOException {
        assertRejected("no size", post("Transfer-Encoding: chunked\r\n", "zz\r\nhello\r\n0\r\n\r\n"));
        assertRejected(
                "broken later", post("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\nzz\r\nhello\r\n0\r\n\r\n"));
        assertRejected("negative size", post("Transfer-Encoding: chunked\r\n", "-5\r\nhello\r\n0\r\n\r\n"));
    }

    @Test
    void malformedHeadsAreRejected() throws IOException {
        assertRejected("no request", "nonsense\r\n\r\n");
        assertRejected("space before the colon", post("Content-Length : 5\r\n", "hello"));
        assertRejected("header over the limit", post("X-Long: " + "x".repeat(20_000) + "\r\n", ""));
        assertRejected("line over the limit", "GET /" + "x".repeat(20_000) + " HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    @Test
    void incompleteRequestDoesNotReachTheApplication() throws IOException {
        exchange(post("Content-Length: 50\r\n", "half"), true);
        exchange(post("Transfer-Encoding: chunked\r\n", "5\r\nhel"), true);
        exchange("POST /a HTTP/1.1\r\nHost", true);
        assertEquals(List.of(), received);
    }

    @Test
    void bodyThatLooksLikeARequestIsNotParsedAsOne() throws IOException {
        String inner = "POST /evil HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
        String responses =
                exchange(post("Connection: close\r\nContent-Length: " + inner.length() + "\r\n", inner), false);
        assertEquals(List.of("200"), statuses(responses));
        assertEquals(List.of("/a " + inner), received);
    }

    @Test
    void chunksAreJoinedIntoOneBody() throws IOException {
        String responses = exchange(
                post("Connection: close\r\nTransfer-Encoding: chunked\r\n", "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"),
                false);
        assertEquals(List.of("200"), statuses(responses));
        assertEquals(List.of("/a hello world"), received);
    }

    /** Two pipelined requests on one connection each get their own response, in the order of the requests. */
    @Test
    void answersComeInTheOrderOfTheRequests() throws IOException {
        String responses = exchange(
                "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false);
        assertEquals(List.of("200", "200"), statuses(responses));
        assertTrue(responses.toLowerCase(Locale.ROOT).matches("(?s).*x-path: /1.*x-path: /2.*"), responses);
    }

    /** If the server stops during a request, it accepts no new connections but answers that request completely. */
    @Test
    void openRequestIsAnsweredWhileTheGatewayStops() throws Exception {
        stop();
        Sinks.One<Response> pendingResponse = Sinks.one();
        CountDownLatch requestReceived = new CountDownLatch(1);
        gateway = new HttpGateway("127.0.0.1:" + port, 1000, request -> {
            requestReceived.countDown();
            return pendingResponse.asMono();
        });
        gateway.start();
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write(post("Content-Length: 5\r\n", "hello").getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(requestReceived.await(10, TimeUnit.SECONDS));
            Thread stopping = new Thread(gateway::stop);
            stopping.start();
            while (acceptsConnections()) {
                Thread.onSpinWait();
            }
            pendingResponse.tryEmitValue(new Response(200, Map.of(), "whole".getBytes()));
            String responses = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(responses.startsWith("HTTP/1.1 200") && responses.endsWith("\r\n\r\nwhole"), responses);
            assertTrue(responses.toLowerCase(Locale.ROOT).contains("connection: close"), responses);
            stopping.join();
        }
    }

    private boolean acceptsConnections() {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Rejecting a request for its size closes the connection, so that the rest is not parsed as a request. */
    @Test
    void restOfATooLargeBodyIsNotParsedAsARequest() throws IOException {
        String inner = "GET /evil HTTP/1.1\r\nHost: h\r\n\r\n";
        String responses = exchange(
                post("Content-Length: 2000\r\n", "x".repeat(1990 - inner.length()) + inner + "x".repeat(10)), true);
        assertEquals("413", statuses(responses).get(0));
        assertEquals(List.of(), received);
    }
}

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
 * Requests that are written oddly, byte for byte: a definite answer and the end of the stream, and nothing reaches the
 * application.
 */
class HttpGatewayEdgeTest {
    private final List<String> reached = Collections.synchronizedList(new ArrayList<>());
    private HttpGateway gateway;
    private int port;

    @BeforeEach
    void start() throws Exception {
        port = LoopbackPorts.free();
        gateway = new HttpGateway("127.0.0.1:" + port, 1000, request -> {
            reached.add(request.path() + " " + new String(request.body(), StandardCharsets.ISO_8859_1));
            return Mono.just(new Response(200, Map.of("X-Path", request.path()), new byte[] {'o', 'k'}));
        });
        gateway.start();
    }

    @AfterEach
    void stop() {
        gateway.stop();
    }

    /** All that comes back until the other side ends the stream; the caller says no more. */
    private String said(String text, boolean halfClose) throws IOException {
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

    private static List<String> statuses(String answer) {
        Matcher matcher = Pattern.compile("HTTP/1\\.1 ([0-9]{3})").matcher(answer);
        List<String> out = new ArrayList<>();
        while (matcher.find()) {
            out.add(matcher.group(1));
        }
        return out;
    }

    /** The stream ends by itself, after one refusal at most. */
    private void refused(String what, String text) throws IOException {
        String answer = said(text, false);
        assertTrue(statuses(answer).size() == 1 && statuses(answer).get(0).startsWith("4"), what + ": " + answer);
        assertEquals(List.of(), reached, what);
    }

    private static String post(String headers, String body) {
        return "POST /a HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
    }

    @Test
    void twoLengths() throws IOException {
        refused("two lengths", post("Content-Length: 5\r\nContent-Length: 6\r\n", "hello!"));
        refused("a list of lengths", post("Content-Length: 5, 6\r\n", "hello!"));
    }

    @Test
    void lengthWithChunks() throws IOException {
        refused("both", post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"));
        refused(
                "both, other order",
                post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "5\r\nhello\r\n0\r\n\r\n"));
    }

    @Test
    void oddLengths() throws IOException {
        for (String l : List.of("-1", "five", "0x5", "+5", "99999999999999999999")) {
            refused("length " + l, post("Content-Length: " + l + "\r\n", "hello"));
        }
    }

    /** Before: the body ended where it could not be read, and that much of it was handed in. */
    @Test
    void brokenChunks() throws IOException {
        refused("no size", post("Transfer-Encoding: chunked\r\n", "zz\r\nhello\r\n0\r\n\r\n"));
        refused("broken later", post("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\nzz\r\nhello\r\n0\r\n\r\n"));
        refused("negative size", post("Transfer-Encoding: chunked\r\n", "-5\r\nhello\r\n0\r\n\r\n"));
    }

    @Test
    void oddHeads() throws IOException {
        refused("no request", "nonsense\r\n\r\n");
        refused("space before the colon", post("Content-Length : 5\r\n", "hello"));
        refused("header over the limit", post("X-Long: " + "x".repeat(20_000) + "\r\n", ""));
        refused("line over the limit", "GET /" + "x".repeat(20_000) + " HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    @Test
    void halfARequestReachesNobody() throws IOException {
        said(post("Content-Length: 50\r\n", "half"), true);
        said(post("Transfer-Encoding: chunked\r\n", "5\r\nhel"), true);
        said("POST /a HTTP/1.1\r\nHost", true);
        assertEquals(List.of(), reached);
    }

    @Test
    void bodyThatLooksLikeARequestIsABody() throws IOException {
        String inner = "POST /evil HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
        String answer = said(post("Connection: close\r\nContent-Length: " + inner.length() + "\r\n", inner), false);
        assertEquals(List.of("200"), statuses(answer));
        assertEquals(List.of("/a " + inner), reached);
    }

    @Test
    void chunksAreTakenAsTheWholeBody() throws IOException {
        String answer = said(
                post("Connection: close\r\nTransfer-Encoding: chunked\r\n", "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"),
                false);
        assertEquals(List.of("200"), statuses(answer));
        assertEquals(List.of("/a hello world"), reached);
    }

    /** Two requests at once on one stream: each its own answer, in their order. */
    @Test
    void answersComeInTheOrderOfTheRequests() throws IOException {
        String answer = said(
                "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false);
        assertEquals(List.of("200", "200"), statuses(answer));
        assertTrue(answer.toLowerCase(Locale.ROOT).matches("(?s).*x-path: /1.*x-path: /2.*"), answer);
    }

    /** The server is told to stop while a request is open: no new streams, and the open one gets its whole answer. */
    @Test
    void openRequestGetsItsAnswerWhileTheGateStops() throws Exception {
        stop();
        Sinks.One<Response> later = Sinks.one();
        CountDownLatch open = new CountDownLatch(1);
        gateway = new HttpGateway("127.0.0.1:" + port, 1000, request -> {
            open.countDown();
            return later.asMono();
        });
        gateway.start();
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write(post("Content-Length: 5\r\n", "hello").getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(open.await(10, TimeUnit.SECONDS));
            Thread stopping = new Thread(gateway::stop);
            stopping.start();
            while (takesStreams()) {
                Thread.onSpinWait();
            }
            later.tryEmitValue(new Response(200, Map.of(), "whole".getBytes()));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n\r\nwhole"), answer);
            assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
            stopping.join();
        }
    }

    private boolean takesStreams() {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** What is refused for its size ends its stream, so that the rest of it is not read as another request. */
    @Test
    void restOfATooLargeBodyIsNoRequest() throws IOException {
        String inner = "GET /evil HTTP/1.1\r\nHost: h\r\n\r\n";
        String answer = said(
                post("Content-Length: 2000\r\n", "x".repeat(1990 - inner.length()) + inner + "x".repeat(10)), true);
        assertEquals("413", statuses(answer).get(0));
        assertEquals(List.of(), reached);
    }
}

package org.woadvale.common.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
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
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Covers the rows of docs/calls.md for requests that the gateway serves: each caller receives only the responses to its
 * own requests, and no other request can be smuggled inside a request.
 */
class GatewayAnswersTest {
    private final List<String> receivedPaths = Collections.synchronizedList(new ArrayList<>());
    private final Sinks.One<String> heldResponse = Sinks.one();
    private final CountDownLatch heldRequestReceived = new CountDownLatch(1);
    private HttpGateway gateway;
    private int port;

    @BeforeEach
    void start() throws Exception {
        try (ServerSocket serverSocket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = serverSocket.getLocalPort();
        }
        gateway = new HttpGateway("127.0.0.1:" + port, 1000, request -> {
            receivedPaths.add(request.path());
            if (request.path().equals("/held")) {
                heldRequestReceived.countDown();
                return heldResponse.asMono().map(x -> respond(request));
            }
            return Mono.just(respond(request));
        });
        gateway.start();
    }

    @AfterEach
    void stop() {
        gateway.stop();
    }

    private static Response respond(Request request) {
        return new Response(
                request.path().equals("/empty") ? 204 : 200,
                Map.of("X-Path", request.path()),
                request.path().equals("/empty")
                        ? new byte[0]
                        : ("body of " + request.path()).getBytes(StandardCharsets.UTF_8));
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static String getAndClose(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    }

    private Socket open() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Reads up to and including the given text. */
    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder out = new StringBuilder();
        while (out.indexOf(end) < 0) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, "the connection ended after " + out);
            out.append((char) next);
        }
        return out.toString();
    }

    private String exchange(String text) throws IOException {
        try (Socket socket = open()) {
            send(socket, text);
            return readToEnd(socket);
        }
    }

    private static List<String> paths(String responses) {
        Matcher matcher = Pattern.compile("(?i)\r\nx-path: (\\S+)").matcher(responses);
        List<String> out = new ArrayList<>();
        while (matcher.find()) {
            out.add(matcher.group(1));
        }
        return out;
    }

    /** The second and third request arrive while the first is still being processed. */
    @RepeatedTest(20)
    void pipelinedRequestsGetTheirAnswersInOrder() throws Exception {
        try (Socket socket = open()) {
            send(socket, get("/held") + get("/2") + get("/3"));
            assertTrue(heldRequestReceived.await(20, TimeUnit.SECONDS));
            heldResponse.tryEmitValue("go");
            assertEquals(List.of("/held", "/2", "/3"), paths(readUntil(socket, "body of /3")));
        }
    }

    /** A response that is ready only after its caller has disconnected must not reach another connection. */
    @Test
    void responseForADisconnectedCallerReachesNoOtherCaller() throws Exception {
        try (Socket disconnecting = open();
                Socket remaining = open()) {
            send(disconnecting, get("/held"));
            assertTrue(heldRequestReceived.await(20, TimeUnit.SECONDS));
            disconnecting.setSoLinger(true, 0);
            disconnecting.close();
            send(remaining, get("/1"));
            String first = readUntil(remaining, "body of /1");
            heldResponse.tryEmitValue("go");
            send(remaining, getAndClose("/2"));
            assertEquals(List.of("/1", "/2"), paths(first + readToEnd(remaining)));
        }
    }

    /** The client would parse a body sent with a response to HEAD, or with a 204, as the next response. */
    @Test
    void responsesThatMayNotHaveABodyHaveNone() throws Exception {
        String responses;
        try (Socket socket = open()) {
            send(socket, "HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/empty") + get("/3"));
            responses = readUntil(socket, "body of /3");
        }
        assertEquals(List.of("/1", "/empty", "/3"), paths(responses));
        assertFalse(responses.contains("body of /1"), responses);
        assertTrue(responses.matches("(?s)HTTP/1.1 200.*?\r\n\r\nHTTP/1.1 204.*?\r\n\r\nHTTP/1.1 200.*"), responses);
    }

    @Test
    void requestThatArrivesByteByByteIsOneRequest() throws Exception {
        String request = "POST /pieces HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
        try (Socket socket = open()) {
            socket.setTcpNoDelay(true);
            for (int i = 0; i < request.length(); i++) {
                send(socket, request.substring(i, i + 1));
            }
            assertEquals(List.of("/pieces"), paths(readToEnd(socket)));
        }
        assertEquals(List.of("/pieces"), receivedPaths);
    }

    @Test
    void expectContinueIsAnsweredWith100() throws Exception {
        String responses = exchange("POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n"
                + "Connection: close\r\n\r\nhello");
        assertTrue(responses.startsWith("HTTP/1.1 100 Continue\r\n"), responses);
        assertEquals(List.of("/1"), paths(responses));
    }

    /** Bytes after an undecodable request are not parsed as a request, because they may be part of it. */
    @Test
    void bytesAfterAMalformedRequestAreNotParsedAsARequest() throws Exception {
        exchange(get("/1") + "POST /broken HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n" + getAndClose("/3"));
        assertFalse(receivedPaths.contains("/3"), receivedPaths.toString());
        assertFalse(receivedPaths.contains("/broken"), receivedPaths.toString());
    }

    /** One HTTP implementation could parse each of these as two requests and another one as a single request. */
    @Test
    void ambiguousFramingDoesNotReachTheApplication() throws Exception {
        String smuggled = get("/smuggled");
        String chunks = "5\r\nhello\r\n0\r\n\r\n";
        List<String> heads = List.of(
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
                "Transfer-Encoding: identity, chunked\r\nContent-Length: 4\r\n",
                "Transfer-Encoding: chunked, identity\r\n",
                "Transfer-Encoding: xchunked\r\n",
                "Transfer-Encoding : chunked\r\n",
                "Transfer-Encoding:\u000bchunked\r\n",
                "Content-Length: 4\r\nContent-Length : 50\r\n",
                "Content-Length: 4\r\n Content-Length: 50\r\n",
                "Content-Length: 4,4\r\nTransfer-Encoding: chunked\r\n",
                "Host: other\r\n",
                "X-A: b\u0000c\r\n");
        for (String head : heads) {
            String responses = exchange("POST /odd HTTP/1.1\r\nHost: h\r\n" + head + "\r\n" + chunks + smuggled);
            assertEquals(List.of(), receivedPaths, head.toLowerCase(Locale.ROOT));
            assertTrue(responses.startsWith("HTTP/1.1 400"), head.toLowerCase(Locale.ROOT) + responses);
        }
    }
}

package org.woadvale.common.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.runtime.SystemTimers;
import reactor.core.publisher.Mono;

/** Bytes that are not a complete request of a compatible peer: nothing is executed. */
class RpcBytesTest {
    public record Question(String words) implements RepeatableRequest {}

    private static final Codec CODEC = new Codec(Map.of(100, List.of(Question.class)));
    private final SystemTimers timers = new SystemTimers(2);
    private final List<String> handled = Collections.synchronizedList(new ArrayList<>());
    private TcpRpcClient server;

    @BeforeEach
    void start() throws Exception {
        RpcRouter router = new RpcRouter().on(Question.class, (from, question) -> {
            handled.add(question.words());
            return Mono.just(question);
        });
        try (ServerSocket serverSocket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            server = new TcpRpcClient("127.0.0.1:" + serverSocket.getLocalPort(), CODEC, router, timers);
        }
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
        timers.close();
    }

    /**
     * Sends a handshake and further bytes, and returns what the server sends after its own handshake until it closes.
     */
    private byte[] exchange(byte[] hello, byte[]... rest) throws IOException {
        int port = Integer.parseInt(server.self().substring(server.self().indexOf(':') + 1));
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(20_000);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            ScriptedRpcPeer.write(out, hello);
            for (byte[] bytes : rest) {
                out.write(bytes);
            }
            out.flush();
            socket.shutdownOutput();
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.readNBytes(in.readInt());
            return in.readAllBytes();
        }
    }

    private static byte[] withLength(byte[] frame, int announced) {
        return ByteBuffer.allocate(4 + frame.length)
                .putInt(announced)
                .put(frame)
                .array();
    }

    @Test
    void truncatedRequestIsNotExecuted() throws Exception {
        byte[] request = CODEC.write(new Frame(1, Frame.Kind.REQUEST, new Question("half")));
        byte[] hello = ScriptedRpcPeer.hello(Codec.OLDEST_VERSION, Codec.NEWEST_VERSION, "127.0.0.1:1");
        exchange(hello, withLength(Arrays.copyOf(request, request.length - 1), request.length));
        assertEquals(List.of(), handled);
    }

    @Test
    void invalidNameOrVersionIsNotServed() throws Exception {
        byte[] request = CODEC.write(new Frame(1, Frame.Kind.REQUEST, new Question("foreign")));
        byte[] complete = withLength(request, request.length);
        assertEquals(
                0, exchange(ScriptedRpcPeer.hello(Codec.OLDEST_VERSION, Codec.NEWEST_VERSION, ""), complete).length);
        assertEquals(
                0,
                exchange(ScriptedRpcPeer.hello(Codec.OLDEST_VERSION, Codec.NEWEST_VERSION, "a b\n"), complete).length);
        assertEquals(
                0,
                exchange(
                                ScriptedRpcPeer.hello(
                                        Codec.NEWEST_VERSION + 1, Codec.NEWEST_VERSION + 2, "127.0.0.1:1"),
                                complete)
                        .length);
        assertEquals(List.of(), handled);
    }

    /**
     * Guards against a damaged size that makes the reader allocate gigabytes and ends the process for lack of memory.
     */
    @Test
    void sizeLargerThanTheFrameIsRejected() {
        byte[] valid = CODEC.write(new Question("x"));
        byte[] bytes = CODEC.write(new byte[3]);
        byte[] list = CODEC.write(new ArrayList<>(List.of(1, 2, 3)));
        byte[] immutable = CODEC.write(List.of(1, 2, 3));
        for (byte[] encoded : List.of(bytes, list, immutable)) {
            byte[] damaged = Arrays.copyOf(encoded, 6);
            int sizeAt = 1;
            damaged[sizeAt] = (byte) 0xff;
            damaged[sizeAt + 1] = (byte) 0xff;
            damaged[sizeAt + 2] = (byte) 0xff;
            damaged[sizeAt + 3] = (byte) 0xff;
            damaged[sizeAt + 4] = (byte) 0x07;
            assertFalse(readable(damaged));
        }
        assertTrue(readable(valid));
    }

    private static boolean readable(byte[] frame) {
        try {
            CODEC.read(frame, Object.class);
            return true;
        } catch (ServiceException failure) {
            assertEquals(ErrorKind.BAD_REQUEST, failure.kind());
            return false;
        }
    }
}

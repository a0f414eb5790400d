package org.woadvale.common.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.woadvale.common.LoopbackPorts;
import org.woadvale.common.error.ConflictException;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.runtime.SystemTimers;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;

/** TCP connections on ephemeral loopback ports. */
class TcpRpcClientTest {
    public record Question(String words) implements RepeatableRequest {}

    public record Unregistered(String words) {}

    private static final Codec CODEC = new Codec(Map.of(100, List.of(Question.class)));
    private final SystemTimers timers = new SystemTimers(2);
    private TcpRpcClient client;
    private TcpRpcClient server;

    @BeforeEach
    void open() throws Exception {
        RpcRouter router = new RpcRouter()
                .on(
                        Question.class,
                        (from, question) -> question.words().isEmpty()
                                ? Mono.error(new ConflictException("empty", List.of("x")))
                                : Mono.just(new Question(question.words() + "!")));
        client = new TcpRpcClient(LoopbackPorts.freeAddress(), CODEC, new RpcRouter(), timers);
        server = new TcpRpcClient(LoopbackPorts.freeAddress(), CODEC, router, timers);
        client.start();
        server.start();
    }

    @AfterEach
    void close() {
        client.stop();
        server.stop();
        timers.close();
    }

    private ServiceException errorOf(Mono<?> call) {
        return ServiceException.of(
                Exceptions.unwrap(assertThrows(RuntimeException.class, () -> call.block(Duration.ofSeconds(20)))));
    }

    @Test
    void responsesAndErrorsAreReturned() {
        assertEquals(
                "hi!",
                client.call(server.self(), new Question("hi"), Question.class, Duration.ofSeconds(10))
                        .block()
                        .words());
        ServiceException failure =
                errorOf(client.call(server.self(), new Question(""), Question.class, Duration.ofSeconds(10)));
        assertEquals(ErrorKind.CONFLICT, failure.kind());
        assertEquals(List.of("x"), failure.details());
    }

    @Test
    void refusedConnectionIsUnreachable() throws Exception {
        try (Socket refusing = LoopbackPorts.bindWithoutListening()) {
            String address = "127.0.0.1:" + refusing.getLocalPort();
            ServiceException error =
                    errorOf(client.call(address, new Question("hi"), Question.class, Duration.ofSeconds(10)));
            assertEquals(ErrorKind.UNREACHABLE, error.kind());
        }
    }

    /**
     * Sends frames and returns the first byte received after the handshake, or -1 if the server closed the connection.
     */
    private int firstByteAfterSending(byte[]... frames) throws IOException {
        try (Socket socket = new Socket(
                "127.0.0.1",
                Integer.parseInt(server.self().substring(server.self().indexOf(':') + 1)))) {
            socket.setSoTimeout(15000);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            for (byte[] frame : frames) {
                out.writeInt(frame.length);
                out.write(frame);
            }
            out.flush();
            int hello = new DataInputStream(socket.getInputStream()).readInt();
            socket.getInputStream().readNBytes(hello);
            return socket.getInputStream().read();
        }
    }

    private static byte[] hello(int oldest, int newest) {
        return ByteBuffer.allocate(8 + 11)
                .putInt(0x574F4144)
                .putShort((short) oldest)
                .putShort((short) newest)
                .put("127.0.0.1:1".getBytes(StandardCharsets.UTF_8))
                .array();
    }

    @Test
    void foreignCorruptAndIncompatibleConnectionsAreClosed() throws IOException {
        assertEquals(-1, firstByteAfterSending("GET / HTTP/1.1".getBytes(StandardCharsets.UTF_8)));
        assertEquals(-1, firstByteAfterSending(hello(1, 1), new byte[] {1, 2, 3, 99, 99}));
        assertEquals(-1, firstByteAfterSending(hello(Codec.NEWEST_VERSION + 1, Codec.NEWEST_VERSION + 5)));
        Codec other = new Codec(Map.of(100, List.of(Question.class, Unregistered.class)));
        assertEquals(
                -1,
                firstByteAfterSending(
                        hello(1, 1), other.write(new Frame(1, Frame.Kind.REQUEST, new Unregistered("x")))));
    }

    @Test
    void newerPeerThatSupportsOurVersionIsServed() throws IOException {
        byte[] request = CODEC.write(new Frame(7, Frame.Kind.REQUEST, new Question("hi")));
        assertEquals(
                0,
                firstByteAfterSending(hello(Codec.NEWEST_VERSION, Codec.NEWEST_VERSION + 3), request),
                "the first byte of an answer's length");
    }
}

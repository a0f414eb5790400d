package org.woadvale.common;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;

/** Loopback ports for tests with real sockets that no outgoing connection of the machine can occupy. */
public final class LoopbackPorts {
    private static final String HOST = "127.0.0.1";
    /** The ports are below the range from which the kernel assigns the ports of outgoing connections. */
    private static final int MIN_PORT = 15_000;

    private static final int MAX_PORT = 32_000;
    private static final int MAX_ATTEMPTS = 1_000;

    private LoopbackPorts() {}

    /** Returns a port on which a server can be started. */
    public static int free() throws IOException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return probe.getLocalPort();
            } catch (BindException e) {
                // the port is in use; try another one
            }
        }
        throw new IOException("no free loopback port was found");
    }

    /** Returns such a port with its host, as {@code host:port}. */
    public static String freeAddress() throws IOException {
        return HOST + ":" + free();
    }

    /** Binds a port without listening on it; connections to it are refused until the socket is closed. */
    public static Socket bindWithoutListening() throws IOException {
        Socket bound = new Socket();
        bound.bind(new InetSocketAddress(HOST, 0));
        return bound;
    }
}

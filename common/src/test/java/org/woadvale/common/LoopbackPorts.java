package org.woadvale.common;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;

/** Loopback ports for tests with real sockets, such that no other connection of the machine takes them meanwhile. */
public final class LoopbackPorts {
    private static final String HOST = "127.0.0.1";
    /** Below the range from which the kernel takes the ports of outgoing connections. */
    private static final int LOWEST = 15_000;

    private static final int HIGHEST = 32_000;
    private static final int ATTEMPTS = 1_000;

    private LoopbackPorts() {}

    /** A port on which a server can be started. */
    public static int free() throws IOException {
        for (int i = 0; i < ATTEMPTS; i++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return probe.getLocalPort();
            } catch (BindException e) {
                // in use: another one is tried
            }
        }
        throw new IOException("no free port");
    }

    /** The same as host and port. */
    public static String freeAddress() throws IOException {
        return HOST + ":" + free();
    }

    /** Holds a port without listening on it until it is closed: whoever connects is refused. */
    public static Socket refusing() throws IOException {
        Socket bound = new Socket();
        bound.bind(new InetSocketAddress(HOST, 0));
        return bound;
    }
}

package org.woadvale.testkit.cluster;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A TCP relay on loopback that can silence its existing connections: they stay open but forward no bytes, like
 * connections to a machine that lost power. Later connections work.
 */
final class SilentRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;

    private final ServerSocket server;
    private final int targetPort;
    private final AtomicInteger connections = new AtomicInteger();
    private volatile int silencedUpTo;

    SilentRelay(int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        startDaemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The number of connections accepted so far. */
    int connections() {
        return connections.get();
    }

    /** Stops forwarding on all existing connections. */
    void silence() {
        silencedUpTo = connections.get();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "silent-relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket in = server.accept();
                Socket out = new Socket(InetAddress.getByName("127.0.0.1"), targetPort);
                int number = connections.incrementAndGet();
                startDaemon(() -> pump(in, out, number));
                startDaemon(() -> pump(out, in, number));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void pump(Socket from, Socket to, int number) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from) {
            InputStream in = from.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (number > silencedUpTo) {
                    to.getOutputStream().write(buffer, 0, count);
                }
            }
        } catch (IOException e) {
            // one side has closed the connection
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}

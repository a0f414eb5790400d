package org.woadvale.testkit.cluster;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP relay in front of one process. Links between named peers can be cut; bytes in transit wait until they heal. */
public final class Relay implements AutoCloseable {
    /** The links that are cut, shared by all relays of a fleet. */
    public static final class Cuts {
        private final Set<String> cut = ConcurrentHashMap.newKeySet();

        public void cut(String peer, String other) {
            cut.add(peer + ">" + other);
            cut.add(other + ">" + peer);
        }

        public void heal() {
            cut.clear();
        }

        boolean isCut(String from, String to) {
            return cut.contains(from + ">" + to);
        }
    }

    private static final int HELLO_NAME_OFFSET = 8;
    private static final int MAX_HELLO_BYTES = 256;
    private final String self;
    private final String target;
    private final Cuts cuts;
    private final ServerSocket server;

    public Relay(String self, String target, Cuts cuts) throws IOException {
        this.self = self;
        this.target = target;
        this.cuts = cuts;
        this.server = new ServerSocket(port(self), 64, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Reads the caller's name from its first frame and then relays both directions. */
    private void serve(Socket in) {
        try {
            DataInputStream data = new DataInputStream(in.getInputStream());
            int length = data.readInt();
            if (length < HELLO_NAME_OFFSET || length > MAX_HELLO_BYTES) {
                in.close();
                return;
            }
            byte[] hello = data.readNBytes(length);
            String from = new String(hello, HELLO_NAME_OFFSET, length - HELLO_NAME_OFFSET, StandardCharsets.UTF_8);
            awaitUncut(from, self);
            Socket out = new Socket(InetAddress.getByName("127.0.0.1"), port(target));
            out.getOutputStream()
                    .write(ByteBuffer.allocate(4 + length)
                            .putInt(length)
                            .put(hello)
                            .array());
            start(() -> pump(out, in, self, from));
            pump(in, out, from, self);
        } catch (IOException e) {
            close(in);
        }
    }

    private void awaitUncut(String from, String to) {
        while (cuts.isCut(from, to)) {
            StubEnvironment.sleep(20);
        }
    }

    private void pump(Socket from, Socket to, String sender, String receiver) {
        byte[] buffer = new byte[16 << 10];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                awaitUncut(sender, receiver);
                output.write(buffer, 0, count);
            }
        } catch (IOException e) {
            // one side has closed the connection, so the other is closed as well
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // nothing left to close
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}

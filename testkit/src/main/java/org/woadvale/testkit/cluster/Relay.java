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

/** A plain TCP relay before one process: links between named peers can be cut; what is on its way waits. */
public final class Relay implements AutoCloseable {
    /** Which links are cut, for all relays of a fleet. */
    public static final class Cuts {
        private final Set<String> cut = ConcurrentHashMap.newKeySet();

        public void cut(String one, String other) {
            cut.add(one + ">" + other);
            cut.add(other + ">" + one);
        }

        public void heal() {
            cut.clear();
        }

        boolean is(String from, String to) {
            return cut.contains(from + ">" + to);
        }
    }

    private static final int HELLO_NAME = 8;
    private static final int MAX_HELLO = 256;
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

    /** The first frame tells who is calling. */
    private void serve(Socket in) {
        try {
            DataInputStream d = new DataInputStream(in.getInputStream());
            int length = d.readInt();
            if (length < HELLO_NAME || length > MAX_HELLO) {
                in.close();
                return;
            }
            byte[] hello = d.readNBytes(length);
            String from = new String(hello, HELLO_NAME, length - HELLO_NAME, StandardCharsets.UTF_8);
            hold(from, self);
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

    private void hold(String from, String to) {
        while (cuts.is(from, to)) {
            StubEnvironment.sleep(20);
        }
    }

    private void pump(Socket from, Socket to, String sender, String receiver) {
        byte[] b = new byte[16 << 10];
        try {
            InputStream i = from.getInputStream();
            OutputStream o = to.getOutputStream();
            for (int n = i.read(b); n >= 0; n = i.read(b)) {
                hold(sender, receiver);
                o.write(b, 0, n);
            }
        } catch (IOException e) {
            // one side is gone: so is the other
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

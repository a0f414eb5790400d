package org.woadvale.common.rpc;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.woadvale.common.error.ServiceException;

/** A loopback peer with a configurable handshake that answers each request frame by a script, byte for byte. */
final class ScriptedRpcPeer implements AutoCloseable {
    /** Responds to a request; the connection is closed if it returns false. */
    interface Script {
        boolean respond(int connection, Frame request, DataOutputStream out) throws IOException;
    }

    private final ServerSocket server;
    private final Codec codec;
    private final Script script;
    private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());
    final List<Frame> requests = Collections.synchronizedList(new ArrayList<>());
    private final String handshakeName;

    /**
     * Identifies itself by the given name, or by its own address if the name is empty; sends no handshake if it is
     * blank.
     */
    ScriptedRpcPeer(Codec codec, String handshakeName, Script script) throws IOException {
        this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        this.codec = codec;
        this.handshakeName = handshakeName.isEmpty() ? address() : handshakeName;
        this.script = script;
        daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    int connections() {
        return sockets.size();
    }

    static byte[] hello(int oldest, int newest, String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(8 + bytes.length)
                .putInt(0x574F4144)
                .putShort((short) oldest)
                .putShort((short) newest)
                .put(bytes)
                .array();
    }

    static void write(DataOutputStream out, byte[] frame) throws IOException {
        out.writeInt(frame.length);
        out.write(frame);
        out.flush();
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "scripted-peer");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                int connection = sockets.size();
                daemon(() -> serve(socket, connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, int connection) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            if (handshakeName.isBlank()) {
                in.readNBytes(in.readInt());
                return;
            }
            write(out, hello(Codec.OLDEST_VERSION, Codec.NEWEST_VERSION, handshakeName));
            in.readNBytes(in.readInt());
            while (true) {
                Frame request = codec.read(in.readNBytes(in.readInt()), Frame.class);
                requests.add(request);
                if (!script.respond(connection, request, out)) {
                    return;
                }
            }
        } catch (IOException | ServiceException e) {
            // the caller closed the connection
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : List.copyOf(sockets)) {
            socket.close();
        }
    }
}

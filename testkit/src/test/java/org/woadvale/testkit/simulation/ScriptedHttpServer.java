package org.woadvale.testkit.simulation;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A back end on the loopback interface that writes exactly the bytes that its script returns. */
final class ScriptedHttpServer implements AutoCloseable {
    /** Decides what to write after a complete request has been read; an empty text writes nothing. */
    interface Script {
        ScriptedAnswer respond(int connection, int request, String head);
    }

    /** The bytes to write, and whether the connection is closed afterwards. */
    record ScriptedAnswer(String text, boolean close) {}

    private final ServerSocket server;
    private final Script script;
    final List<String> requestHeads = Collections.synchronizedList(new ArrayList<>());
    private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

    ScriptedHttpServer(Script script) throws IOException {
        this.script = script;
        this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::acceptConnections, "peer");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "http://127.0.0.1:" + server.getLocalPort();
    }

    int connections() {
        return sockets.size();
    }

    static String answer(int status, String id, String headers, String body) {
        return "HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + id + "\r\n" + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                int connection = sockets.size();
                Thread thread = new Thread(() -> serve(socket, connection), "peer-" + connection);
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, int connection) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (int request = 1; ; request++) {
                String head = readHead(in);
                if (head.isEmpty()) {
                    return;
                }
                in.readNBytes(Integer.parseInt(head.replaceAll("(?is).*content-length: *([0-9]+).*", "$1")));
                requestHeads.add(head);
                ScriptedAnswer said = script.respond(connection, request, head);
                socket.getOutputStream().write(said.text().getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
                if (said.close()) {
                    return;
                }
            }
        } catch (IOException e) {
            // the client closed the connection
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        while (b.length() < 4 || !b.substring(b.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            b.append((char) next);
        }
        return b.toString();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : List.copyOf(sockets)) {
            socket.close();
        }
    }
}

package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A processor that is pushed to: one request at a time on each connection; each answer repeats the message's id. */
class Processor implements AutoCloseable {
    /** One request as it came. */
    record Run(String method, String target, Map<String, String> headers, byte[] body, double begun, String sender) {
        String id() {
            return headers.getOrDefault("x-attempt-id", "");
        }
    }

    /** What the processor answers; status 0 closes the connection without an answer. */
    record Outcome(int status, long workMs) {}

    final List<Run> runs = new ArrayList<>();
    /** Ids of messages whose success was written whole. */
    final Set<String> succeeded = ConcurrentHashMap.newKeySet();
    private final Record record;
    private final String name;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listening;
    private final AtomicLong seals = new AtomicLong();

    Processor(Record record, String name, String ip) throws IOException {
        this.record = record;
        this.name = name;
        listen(new InetSocketAddress(ip, 0));
    }

    private void listen(InetSocketAddress address) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(address, 256);
        listening = socket;
        daemon(() -> accept(socket));
    }

    /** The process is gone: its port refuses, its connections are closed. */
    void crash() throws IOException {
        record.line(name + " crashes");
        listening.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }

    /** A new life at the same address. */
    void start() throws IOException {
        listen(new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort()));
        record.line(name + " starts again");
    }

    String address() {
        return listening.getInetAddress().getHostAddress() + ":" + listening.getLocalPort();
    }

    /** A sound processor does its work and succeeds. */
    Outcome outcome(Run run) {
        return new Outcome(200, 20);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket from) {
        while (!from.isClosed()) {
            try {
                Socket socket = from.accept();
                connections.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return "";
            }
            if (c != '\r') {
                out.write(c);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    private void serve(Socket socket) {
        try (socket) {
            String sender = sender(socket);
            InputStream in = socket.getInputStream();
            for (String first = line(in); !first.isEmpty(); first = line(in)) {
                Map<String, String> headers = new TreeMap<>();
                for (String line = line(in); !line.isEmpty(); line = line(in)) {
                    int colon = line.indexOf(':');
                    headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
                }
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                int space = first.indexOf(' ');
                Run run = new Run(
                        first.substring(0, space),
                        first.substring(space + 1, first.lastIndexOf(' ')),
                        headers,
                        body,
                        record.seconds(),
                        sender);
                if (!answer(socket, run)) {
                    return;
                }
            }
        } catch (IOException | RuntimeException e) {
            record.line(name + " connection ended: " + e);
        } finally {
            connections.remove(socket);
        }
    }

    private boolean answer(Socket socket, Run run) throws IOException {
        OutputStream out = socket.getOutputStream();
        if (run.target().equals("/health")) {
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            return true;
        }
        synchronized (runs) {
            runs.add(run);
        }
        record.line(name + " begins " + run.method() + " " + shortened(run.target()) + " id " + run.id() + " tenant "
                + run.headers().get("x-tenant") + " order " + run.headers().get("x-order-key") + " deadline "
                + run.headers().get("x-deadline-ms") + " from " + run.sender());
        Outcome outcome = outcome(run);
        try {
            Thread.sleep(outcome.workMs());
        } catch (InterruptedException e) {
            return false;
        }
        if (senderGone(socket)) {
            record.line(name + " has nobody to answer " + run.id() + " to");
            return false;
        }
        record.line(name + " answers " + run.id() + " with " + outcome.status());
        if (outcome.status() == 0) {
            return false;
        }
        String seal = outcome.status() == 200 ? "X-Server-Seal: seal-" + name + "-" + seals.incrementAndGet() + "\r\n" : "";
        out.write(("HTTP/1.1 " + outcome.status() + " x\r\nX-Attempt-Id: " + run.id() + "\r\n" + seal
                        + "Content-Length: 2\r\n\r\nok")
                .getBytes(StandardCharsets.ISO_8859_1));
        if (outcome.status() == 200) {
            succeeded.add(run.id());
        }
        written(run, outcome.status());
        return true;
    }

    /** The caller has closed its connection, so that no answer is read any more. */
    private static boolean senderGone(Socket socket) {
        try {
            socket.setSoTimeout(1);
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        } finally {
            try {
                socket.setSoTimeout(0);
            } catch (IOException e) {
                // the connection has gone
            }
        }
    }

    /** Which process has the other end of a connection, where it can be told. */
    String sender(Socket socket) {
        return "?";
    }

    /** The whole answer was written. */
    void written(Run run, int status) {}

    private static String shortened(String target) {
        return target.length() <= 60 ? target : target.substring(0, 60) + "... (" + target.length() + ")";
    }

    int runsOf(String id) {
        synchronized (runs) {
            return (int) runs.stream().filter(run -> run.id().equals(id)).count();
        }
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}

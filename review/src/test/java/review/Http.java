package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 request on a connection of its own; nothing is sent twice. */
final class Http {
    /** Status 0 stands for no complete answer. */
    record Answer(int status, Map<String, String> headers, byte[] body, String failure) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    private Http() {}

    static Answer send(
            InetSocketAddress to, String method, String target, Map<String, String> headers, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(to, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: ").append(Deployment.text(to)).append("\r\n");
            }
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || !method.equals("GET")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("Connection: close\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(body);
            socket.getOutputStream().write(all.toByteArray());
            socket.getOutputStream().flush();
            return read(socket.getInputStream());
        } catch (IOException | RuntimeException e) {
            return new Answer(0, Map.of(), new byte[0], e.getClass().getSimpleName() + ": " + e.getMessage());
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection ended");
            }
            if (c != '\r') {
                out.write(c);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    private static Answer read(InputStream in) throws IOException {
        String[] status = line(in).split(" ", 3);
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the answer ended early");
        }
        return new Answer(Integer.parseInt(status[1]), headers, body, "");
    }
}

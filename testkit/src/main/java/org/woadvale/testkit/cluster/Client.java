package org.woadvale.testkit.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.woadvale.common.config.Configurations;

/** The HTTP client of the stubs. It uses the JDK's client so that it shares no code with the tested programs. */
public final class Client {
    public record HttpAnswer(int status, JsonNode json, Map<String, List<String>> headers, byte[] body) {
        private static final int MAX_BODY_CHARS = 500;

        /** For diagnosis: status, headers and the beginning of the body. */
        String describe() {
            String text = new String(body, StandardCharsets.UTF_8);
            return status + " " + headers + " " + body.length + " bytes: "
                    + text.substring(0, Math.min(MAX_BODY_CHARS, text.length()));
        }
    }

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    public CompletableFuture<HttpAnswer> send(
            String method, String address, String path, String key, byte[] body, Map<String, String> headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(8))
                .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
        headers.forEach(builder::header);
        if (!key.isEmpty()) {
            builder.header("Authorization", "Bearer " + key);
        }
        return http.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofByteArray())
                .thenApply(response -> new HttpAnswer(
                        response.statusCode(),
                        json(response.body()),
                        response.headers().map(),
                        response.body()));
    }

    private static JsonNode json(byte[] body) {
        try {
            return Configurations.JSON.readTree(body);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }
}

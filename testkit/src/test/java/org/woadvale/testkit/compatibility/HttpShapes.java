package org.woadvale.testkit.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;

/**
 * The set of distinct shapes of HTTP exchanges: method, path without ids, status, header names, and field names of the
 * JSON body.
 */
final class HttpShapes {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> LITERAL_SEGMENTS = Set.of(
            "v1",
            "layout",
            "history",
            "services",
            "processors",
            "lanes",
            "messages",
            "drain",
            "core",
            "liveness",
            "readiness",
            "status",
            "fetch",
            "outcome",
            "-",
            "configuration",
            "message",
            "message-body",
            "pull",
            "job-extend",
            "job-end",
            "instances");

    private final Set<String> shapes = new TreeSet<>();

    void add(Request request, Response response) {
        StringBuilder path = new StringBuilder();
        for (String segment : request.segments()) {
            path.append('/').append(LITERAL_SEGMENTS.contains(segment) ? segment : "*");
        }
        shapes.add(request.method() + " " + path + " " + response.status() + " "
                + new TreeSet<>(response.headers().keySet()) + " " + body(response));
    }

    private static String body(Response response) {
        boolean json = "application/json".equals(response.headers().get("Content-Type"));
        if (!json || response.status() == 200 && response.headers().containsKey("ETag")) {
            return "-";
        }
        try {
            Set<String> fields = new TreeSet<>();
            JsonNode node = JSON.readTree(response.body());
            node.fieldNames().forEachRemaining(fields::add);
            return fields + (node.has("kind") ? " " + node.get("kind").asText() : "");
        } catch (IOException e) {
            return "unreadable";
        }
    }

    Set<String> all() {
        return shapes;
    }
}

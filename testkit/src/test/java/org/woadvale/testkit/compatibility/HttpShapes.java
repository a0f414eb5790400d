package org.woadvale.testkit.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;

/** The form of HTTP exchanges: method, path without ids, status, names of the headers, fields of the JSON body. */
final class HttpShapes {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> FIXED = Set.of(
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

    void saw(Request request, Response answer) {
        StringBuilder path = new StringBuilder();
        for (String segment : request.segments()) {
            path.append('/').append(FIXED.contains(segment) ? segment : "*");
        }
        shapes.add(request.method() + " " + path + " " + answer.status() + " "
                + new TreeSet<>(answer.headers().keySet()) + " " + body(answer));
    }

    private static String body(Response answer) {
        boolean json = "application/json".equals(answer.headers().get("Content-Type"));
        if (!json || answer.status() == 200 && answer.headers().containsKey("ETag")) {
            return "-";
        }
        try {
            Set<String> fields = new TreeSet<>();
            JsonNode node = JSON.readTree(answer.body());
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

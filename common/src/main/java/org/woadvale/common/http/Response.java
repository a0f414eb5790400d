package org.woadvale.common.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;

/** An HTTP answer, free of any HTTP library so that the simulator sees what a caller sees. */
public record Response(int status, Map<String, String> headers, byte[] body) {
    public static Response json(int status, Object body) {
        return new Response(status, Map.of("Content-Type", "application/json"), Configurations.write(body));
    }

    public Response with(String header, String value) {
        Map<String, String> h = new LinkedHashMap<>(headers);
        h.put(header, value);
        return new Response(status, h, body);
    }

    /** The table from kind to answer is ErrorKind itself. */
    public static Response of(ServiceException f) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("kind", f.kind().wireName());
        body.put("message", String.valueOf(f.getMessage()));
        body.put("details", f.details());
        Response a = json(f.kind().status(), body);
        return retryAfter(f).map(s -> a.with("Retry-After", s)).orElse(a);
    }

    private static Optional<String> retryAfter(ServiceException f) {
        if (!f.kind().retryable()) {
            return Optional.empty();
        }
        if (f.kind() == ErrorKind.THROTTLED && !f.details().isEmpty()) {
            return Optional.of(f.details().get(0));
        }
        return Optional.of("1");
    }
}

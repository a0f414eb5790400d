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
    public static Response of(ServiceException failure) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("kind", failure.kind().wireName());
        body.put("message", String.valueOf(failure.getMessage()));
        body.put("details", failure.details());
        Response response = json(failure.kind().status(), body);
        return retryAfter(failure).map(s -> response.with("Retry-After", s)).orElse(response);
    }

    private static Optional<String> retryAfter(ServiceException failure) {
        if (!failure.kind().retryable()) {
            return Optional.empty();
        }
        if (failure.kind() == ErrorKind.THROTTLED && !failure.details().isEmpty()) {
            return Optional.of(failure.details().get(0));
        }
        return Optional.of("1");
    }
}

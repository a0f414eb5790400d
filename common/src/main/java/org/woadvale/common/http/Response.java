package org.woadvale.common.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.ThrottledException;

/** An HTTP response, independent of any HTTP library so that the simulator sees what a caller sees. */
public record Response(int status, Map<String, String> headers, byte[] body) {
    private static final String DEFAULT_RETRY_AFTER_SECONDS = "1";

    /** Creates a response whose body is a JSON document. */
    public static Response json(int status, Object body) {
        return new Response(status, Map.of("Content-Type", "application/json"), Configurations.write(body));
    }

    /** A copy of this response with one more header. */
    public Response withHeader(String header, String value) {
        Map<String, String> copy = new LinkedHashMap<>(headers);
        copy.put(header, value);
        return new Response(status, copy, body);
    }

    /** Creates the response to a failed request; {@link ErrorKind} determines its status. */
    public static Response of(ServiceException failure) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("kind", failure.kind().wireName());
        body.put("message", String.valueOf(failure.getMessage()));
        body.put("details", failure.details());
        Response response = json(failure.kind().status(), body);
        return retryAfter(failure)
                .map(seconds -> response.withHeader("Retry-After", seconds))
                .orElse(response);
    }

    private static Optional<String> retryAfter(ServiceException failure) {
        if (!failure.kind().retryable()) {
            return Optional.empty();
        }
        return failure instanceof ThrottledException throttled
                ? throttled.retryAfterSeconds().or(() -> Optional.of(DEFAULT_RETRY_AFTER_SECONDS))
                : Optional.of(DEFAULT_RETRY_AFTER_SECONDS);
    }
}

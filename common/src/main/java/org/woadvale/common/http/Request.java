package org.woadvale.common.http;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** An HTTP request, independent of any HTTP library; header names are in lower case. */
public record Request(String method, String path, Map<String, String> headers, byte[] body) {
    private static final String BEARER = "Bearer ";

    /** The segments of the path, without the query. */
    public List<String> segments() {
        return List.of(path.replaceAll("\\?.*", "").replaceAll("^/+", "").split("/"));
    }

    /** The value of a header, whose name is matched without regard to case; a blank value counts as absent. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT))).filter(s -> !s.isBlank());
    }

    /** The bearer token of the {@code Authorization} header. */
    public Optional<String> bearerToken() {
        return header("authorization")
                .filter(value -> value.startsWith(BEARER))
                .map(value -> value.substring(BEARER.length()).trim());
    }
}

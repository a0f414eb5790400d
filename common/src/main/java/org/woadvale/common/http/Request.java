package org.woadvale.common.http;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** An HTTP request, free of any HTTP library; header names are in lower case. */
public record Request(String method, String path, Map<String, String> headers, byte[] body) {
    public List<String> segments() {
        return List.of(path.replaceAll("\\?.*", "").replaceAll("^/+", "").split("/"));
    }

    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT))).filter(s -> !s.isBlank());
    }

    /** The secret of a bearer key. */
    public Optional<String> secret() {
        return header("authorization")
                .filter(a -> a.startsWith("Bearer "))
                .map(a -> a.substring(7).trim());
    }
}

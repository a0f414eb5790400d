package org.woadvale.common.rpc;

import java.util.List;
import java.util.Objects;

/** What travels on a stream after the handshake. */
public record Frame(long id, Kind kind, Object body) {
    public Frame {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(body);
    }

    public enum Kind {
        REQUEST,
        RESPONSE,
        ERROR
    }

    /** A fault on the wire. */
    public record ErrorResponse(String kind, String message, List<String> details) {}
}

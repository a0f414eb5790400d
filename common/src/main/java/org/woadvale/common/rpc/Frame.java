package org.woadvale.common.rpc;

import java.util.List;
import java.util.Objects;

/** What travels on a connection after the handshake. */
public record Frame(long id, Kind kind, Object body) {
    /** Refuses absent components. */
    public Frame {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(body);
    }

    /** What the body is. Sent by ordinal: only ever add at the end. */
    public enum Kind {
        /** A request; the response carries its id. */
        REQUEST,
        /** The result of a request. */
        RESPONSE,
        /** The failure of a request. */
        ERROR
    }

    /** A failure on the wire: the name of its kind, message and details. */
    public record ErrorResponse(String kind, String message, List<String> details) {}
}

package org.woadvale.common.rpc;

import java.util.List;
import java.util.Objects;

/** The unit of transmission on a connection after the handshake. */
public record Frame(long id, Kind kind, Object body) {
    /** Rejects null components. */
    public Frame {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(body);
    }

    /** The type of the body. Sent by ordinal: add new constants only at the end. */
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

package org.woadvale.common.error;

import java.util.List;
import java.util.Optional;

/** This node does not lead the partition; the details hold the address of the leader if it is known. */
public final class NotLeaderException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public NotLeaderException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public NotLeaderException(String message, List<String> details) {
        super(ErrorKind.NOT_OWNER, message, details);
    }

    /** Creates an exception with the internal address of the leader, if it is known. */
    public NotLeaderException(String message, Optional<String> leader) {
        this(message, leader.stream().toList());
    }

    /** The internal address of the leader, if the responding node knows it. */
    public Optional<String> leader() {
        return details().stream().findFirst();
    }
}

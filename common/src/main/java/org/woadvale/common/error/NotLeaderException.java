package org.woadvale.common.error;

import java.util.List;
import java.util.Optional;

/** Another node leads the partition, or none does; carries the leader if it is known. */
public final class NotLeaderException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public NotLeaderException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public NotLeaderException(String message, List<String> details) {
        super(ErrorKind.NOT_OWNER, message, details);
    }

    /** The leader is known by its internal address. */
    public NotLeaderException(String message, Optional<String> leader) {
        this(message, leader.stream().toList());
    }

    /** The internal address of the leader, if the node that answered knows it. */
    public Optional<String> leader() {
        return details().stream().findFirst();
    }
}

package org.woadvale.common.error;

import java.util.List;

/** The request arrived after its deadline, and was not executed. */
public final class DeadlineExpiredException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public DeadlineExpiredException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public DeadlineExpiredException(String message, List<String> details) {
        super(ErrorKind.EXPIRED, message, details);
    }
}

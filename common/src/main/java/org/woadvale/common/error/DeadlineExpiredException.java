package org.woadvale.common.error;

import java.util.List;

/** The request arrived after its deadline, and was not executed. */
public final class DeadlineExpiredException extends RetriableException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public DeadlineExpiredException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public DeadlineExpiredException(String message, List<String> details) {
        super(ErrorKind.EXPIRED, message, details);
    }
}

package org.woadvale.common.error;

import java.util.List;

/** There is no such thing. */
public final class NotFoundException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public NotFoundException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public NotFoundException(String message, List<String> details) {
        super(ErrorKind.NOT_FOUND, message, details);
    }
}

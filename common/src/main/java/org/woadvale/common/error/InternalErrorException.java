package org.woadvale.common.error;

import java.util.List;

/** A fault of this program; the outcome is unknown. */
public final class InternalErrorException extends ServiceException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public InternalErrorException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public InternalErrorException(String message, List<String> details) {
        super(ErrorKind.INTERNAL, message, details);
    }
}

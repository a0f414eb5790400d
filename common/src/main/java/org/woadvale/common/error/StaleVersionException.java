package org.woadvale.common.error;

import java.util.List;

/** An update was made from another version than the present one; the details name that. */
public final class StaleVersionException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Without details. */
    public StaleVersionException(String message) {
        this(message, List.of());
    }

    /** With details, which the caller is shown. */
    public StaleVersionException(String message, List<String> details) {
        super(ErrorKind.STALE_BASE, message, details);
    }
}

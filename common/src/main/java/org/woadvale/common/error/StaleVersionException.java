package org.woadvale.common.error;

import java.util.List;

/** An update is based on a version other than the current one; the details name the current version. */
public final class StaleVersionException extends RejectedException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without details. */
    public StaleVersionException(String message) {
        this(message, List.of());
    }

    /** Creates an exception whose details are returned to the caller. */
    public StaleVersionException(String message, List<String> details) {
        super(ErrorKind.STALE_BASE, message, details);
    }
}

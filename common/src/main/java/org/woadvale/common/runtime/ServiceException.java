package org.woadvale.common.runtime;

import java.util.List;

/** The checked exception of the whole system; its kind says what the asker may believe. */
public final class ServiceException extends Exception {
    private static final long serialVersionUID = 1L;
    private final ErrorKind kind;
    private final transient List<String> details;

    public ServiceException(ErrorKind kind, String message) {
        this(kind, message, List.of());
    }

    public ServiceException(ErrorKind kind, String message, List<String> details) {
        super(message, null, false, false);
        this.kind = kind;
        this.details = List.copyOf(details);
    }

    public ErrorKind kind() {
        return kind;
    }

    public List<String> details() {
        return details;
    }

    /** Any throwable as a fault; what is not ours is an internal fault with unknown outcome. */
    public static ServiceException of(Throwable e) {
        if (e instanceof ServiceException failure) {
            return failure;
        }
        return new ServiceException(ErrorKind.INTERNAL, e.getClass().getSimpleName() + ": " + e.getMessage());
    }
}

package org.woadvale.common.wal;

import java.io.IOException;

/** The disk has no space for a write. The write may be retried with the same bytes at the same position. */
public final class DiskFullException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the message of the operating system. */
    public DiskFullException(String message) {
        super(message);
    }

    /**
     * Returns the failure as a {@code DiskFullException} if the message of the operating system says that space or
     * quota is exhausted, and unchanged otherwise.
     */
    static IOException classify(IOException e) {
        String message = e.getMessage() == null ? "" : e.getMessage();
        boolean full = message.contains("No space left on device") || message.contains("Disk quota exceeded");
        return full ? new DiskFullException(message) : e;
    }
}

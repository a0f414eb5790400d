package org.woadvale.common.wal;

import java.io.IOException;

/** The disk has no room for a write. The write may be tried again, with the same bytes at the same place. */
public final class DiskFullException extends IOException {
    private static final long serialVersionUID = 1L;

    /** With what the system said. */
    public DiskFullException(String message) {
        super(message);
    }

    /** The same failure under this type, if the system's message says that space or quota is used up. */
    static IOException typed(IOException e) {
        String message = e.getMessage() == null ? "" : e.getMessage();
        boolean full = message.contains("No space left on device") || message.contains("Disk quota exceeded");
        return full ? new DiskFullException(message) : e;
    }
}

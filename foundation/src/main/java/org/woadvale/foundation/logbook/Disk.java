package org.woadvale.foundation.logbook;

import java.io.IOException;
import java.util.List;

/** Seam to the data folder; bytes last only once synced. */
public interface Disk {
    interface Leaf {
        void write(long pos, byte[] bytes) throws IOException;

        byte[] read() throws IOException;

        void sync() throws IOException;
    }

    List<String> list() throws IOException;

    Leaf open(String name, int size) throws IOException;

    /** Takes everything out of the way; a damaged folder is kept aside where the disk can. */
    void setAside() throws IOException;
}

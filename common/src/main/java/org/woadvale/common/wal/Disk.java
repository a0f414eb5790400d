package org.woadvale.common.wal;

import java.io.IOException;
import java.util.List;

/** Seam to the data folder; bytes last only once synced. */
public interface Disk {
    /** No caller needs more at once than this, or than one record. */
    int CHUNK_BYTES = 64 << 10;

    /** One file of the folder. */
    interface DiskFile {
        /** Its bytes. */
        int size() throws IOException;

        /** Takes all the space of the file, so that later writes need none. Must run before the first write. */
        default void allocate() throws IOException {}

        /** Writes the first so many of the bytes. */
        void write(long pos, byte[] bytes, int length) throws IOException;

        /** Fills the first so many of the bytes; what lies beyond the end of the file is zero. */
        void read(long pos, byte[] into, int length) throws IOException;

        /** All bytes written so far last from now on. */
        void sync() throws IOException;
    }

    /** The names of the files. */
    List<String> list() throws IOException;

    /** A file of at least this size; a new one is all zeros. Takes no space before it is allocated. */
    DiskFile open(String name, int size) throws IOException;

    /**
     * Takes everything out of the way; a damaged folder is kept aside where the disk can, in place of any former one.
     */
    void setAside() throws IOException;

    /** Frees the space of what was set aside; true if there was any. */
    default boolean deleteSetAside() throws IOException {
        return false;
    }
}

package org.woadvale.common.wal;

import java.io.IOException;
import java.util.List;

/**
 * Access to the files of a data folder, as an interface that tests and simulations implement too. Written bytes are
 * durable only once synced.
 */
public interface Disk {
    /** Maximum number of bytes read or written at once, unless a single record is larger. */
    int CHUNK_BYTES = 64 << 10;

    /** One file of the folder. */
    interface DiskFile {
        /** Size in bytes. */
        int size() throws IOException;

        /**
         * Allocates the whole size on disk, so that later writes need no more space. Must be called before the first
         * write.
         */
        default void allocate() throws IOException {}

        /** Writes the first {@code length} bytes of the array. */
        void write(long position, byte[] bytes, int length) throws IOException;

        /** Reads {@code length} bytes into the array; positions beyond the end of the file read as zero. */
        void read(long position, byte[] into, int length) throws IOException;

        /** Makes all bytes written so far durable. */
        void sync() throws IOException;
    }

    /** The names of the files. */
    List<String> list() throws IOException;

    /** Opens a file of at least this size. A new file reads as zeros and takes no disk space before it is allocated. */
    DiskFile open(String name, int size) throws IOException;

    /**
     * Removes all files from the folder. Where the disk supports it, they are kept in a folder set aside, which replaces
     * any earlier one.
     */
    void setAside() throws IOException;

    /** Deletes what was set aside, to free its space; returns whether there was any. */
    default boolean deleteSetAside() throws IOException {
        return false;
    }
}

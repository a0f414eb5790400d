package org.woadvale.common.wal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Optional;

/**
 * One file of a data folder, made when it is first allocated. It is read and written in small pieces only: the runtime
 * keeps a buffer outside the heap as large as the largest piece for each thread.
 */
final class FolderFile implements Disk.DiskFile {
    private final Path path;
    private final int wantedSize;
    private Optional<FileChannel> channel = Optional.empty();

    FolderFile(Path path, int wantedSize) {
        this.path = path;
        this.wantedSize = wantedSize;
    }

    @Override
    public int size() throws IOException {
        return Files.exists(path) ? Math.max(wantedSize, (int) opened().size()) : wantedSize;
    }

    private FileChannel opened() throws IOException {
        if (channel.isEmpty()) {
            channel = Optional.of(FileChannel.open(
                    path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE));
        }
        return channel.get();
    }

    @Override
    public void allocate() throws IOException {
        try {
            FileChannel file = opened();
            if (file.size() >= wantedSize) {
                return;
            }
            byte[] zeros = new byte[Disk.CHUNK_BYTES];
            for (long at = file.size(); at < wantedSize; at += Disk.CHUNK_BYTES) {
                write(at, zeros, (int) Math.min(Disk.CHUNK_BYTES, wantedSize - at));
            }
            file.force(true);
            FolderDisk.syncFolder(path.getParent());
        } catch (IOException e) {
            throw DiskFullException.typed(e);
        }
    }

    @Override
    public void write(long pos, byte[] bytes, int length) throws IOException {
        try {
            for (int at = 0; at < length; ) {
                ByteBuffer piece = ByteBuffer.wrap(bytes, at, Math.min(Disk.CHUNK_BYTES, length - at));
                at += opened().write(piece, pos + at);
            }
        } catch (IOException e) {
            throw DiskFullException.typed(e);
        }
    }

    @Override
    public void read(long pos, byte[] into, int length) throws IOException {
        int at = 0;
        while (at < length && Files.exists(path)) {
            ByteBuffer piece = ByteBuffer.wrap(into, at, Math.min(Disk.CHUNK_BYTES, length - at));
            int read = opened().read(piece, pos + at);
            if (read < 0) {
                break;
            }
            at += read;
        }
        Arrays.fill(into, at, length, (byte) 0);
    }

    @Override
    public void sync() throws IOException {
        try {
            opened().force(false);
        } catch (IOException e) {
            throw DiskFullException.typed(e);
        }
    }
}

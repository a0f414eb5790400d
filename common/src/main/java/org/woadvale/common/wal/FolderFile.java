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
 * One file of a data folder, created when it is first allocated. It is read and written in small chunks only, since the
 * JDK keeps a direct buffer for each thread that is as large as the largest chunk transferred.
 */
final class FolderFile implements Disk.DiskFile {
    private final Path path;
    private final int minimumSize;
    private Optional<FileChannel> channel = Optional.empty();

    FolderFile(Path path, int minimumSize) {
        this.path = path;
        this.minimumSize = minimumSize;
    }

    @Override
    public int size() throws IOException {
        return Files.exists(path) ? Math.max(minimumSize, (int) openChannel().size()) : minimumSize;
    }

    private FileChannel openChannel() throws IOException {
        if (channel.isEmpty()) {
            channel = Optional.of(FileChannel.open(
                    path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE));
        }
        return channel.get();
    }

    @Override
    public void allocate() throws IOException {
        try {
            FileChannel file = openChannel();
            if (file.size() >= minimumSize) {
                return;
            }
            byte[] zeros = new byte[Disk.CHUNK_BYTES];
            for (long offset = file.size(); offset < minimumSize; offset += Disk.CHUNK_BYTES) {
                write(offset, zeros, (int) Math.min(Disk.CHUNK_BYTES, minimumSize - offset));
            }
            file.force(true);
            FolderDisk.syncFolder(path.getParent());
        } catch (IOException e) {
            throw DiskFullException.classify(e);
        }
    }

    @Override
    public void write(long position, byte[] bytes, int length) throws IOException {
        try {
            for (int offset = 0; offset < length; ) {
                ByteBuffer chunk = ByteBuffer.wrap(bytes, offset, Math.min(Disk.CHUNK_BYTES, length - offset));
                offset += openChannel().write(chunk, position + offset);
            }
        } catch (IOException e) {
            throw DiskFullException.classify(e);
        }
    }

    @Override
    public void read(long position, byte[] into, int length) throws IOException {
        int offset = 0;
        while (offset < length && Files.exists(path)) {
            ByteBuffer chunk = ByteBuffer.wrap(into, offset, Math.min(Disk.CHUNK_BYTES, length - offset));
            int read = openChannel().read(chunk, position + offset);
            if (read < 0) {
                break;
            }
            offset += read;
        }
        Arrays.fill(into, offset, length, (byte) 0);
    }

    @Override
    public void sync() throws IOException {
        try {
            openChannel().force(false);
        } catch (IOException e) {
            throw DiskFullException.classify(e);
        }
    }
}

package org.woadvale.common.wal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/** A real data folder. */
public final class FolderDisk implements Disk {
    private final Path folder;

    public FolderDisk(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> s = Files.list(folder)) {
            return s.filter(Files::isRegularFile)
                    .map(p -> p.getFileName().toString())
                    .sorted()
                    .toList();
        }
    }

    @Override
    public Leaf open(String name, int size) throws IOException {
        Path p = folder.resolve(name);
        boolean made = !Files.exists(p);
        FileChannel ch =
                FileChannel.open(p, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        if (made || ch.size() < size) {
            Leaf blank = new ChannelLeaf(ch);
            byte[] zeros = new byte[CHUNK];
            for (int at = 0; at < size; at += CHUNK) {
                blank.write(at, zeros, Math.min(CHUNK, size - at));
            }
            ch.force(true);
            syncFolder();
        }
        return new ChannelLeaf(ch);
    }

    private void syncFolder() throws IOException {
        try (FileChannel dir = FileChannel.open(folder, StandardOpenOption.READ)) {
            dir.force(true);
        }
    }

    @Override
    public void setAside() throws IOException {
        Path aside = folder.resolve("set-aside-" + System.currentTimeMillis());
        Files.createDirectory(aside);
        for (String name : list()) {
            Files.move(folder.resolve(name), aside.resolve(name));
        }
        syncFolder();
    }

    /** Small pieces only: the runtime keeps a buffer outside the heap as large as the largest for each thread. */
    private record ChannelLeaf(FileChannel ch) implements Leaf {
        @Override
        public int size() throws IOException {
            return (int) ch.size();
        }

        @Override
        public void write(long pos, byte[] bytes, int length) throws IOException {
            for (int at = 0; at < length; ) {
                at += ch.write(ByteBuffer.wrap(bytes, at, Math.min(CHUNK, length - at)), pos + at);
            }
        }

        @Override
        public void read(long pos, byte[] into, int length) throws IOException {
            for (int at = 0; at < length; ) {
                int n = ch.read(ByteBuffer.wrap(into, at, Math.min(CHUNK, length - at)), pos + at);
                if (n < 0) {
                    Arrays.fill(into, at, length, (byte) 0);
                    return;
                }
                at += n;
            }
        }

        @Override
        public void sync() throws IOException {
            ch.force(false);
        }
    }
}

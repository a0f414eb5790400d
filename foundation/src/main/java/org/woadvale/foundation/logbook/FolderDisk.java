package org.woadvale.foundation.logbook;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
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
            return s.filter(Files::isRegularFile).map(p -> p.getFileName().toString()).sorted().toList();
        }
    }

    @Override
    public Leaf open(String name, int size) throws IOException {
        Path p = folder.resolve(name);
        boolean made = !Files.exists(p);
        FileChannel ch = FileChannel.open(p, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        if (made || ch.size() < size) {
            ch.write(ByteBuffer.allocate(size), 0);
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

    private record ChannelLeaf(FileChannel ch) implements Leaf {
        @Override
        public void write(long pos, byte[] bytes) throws IOException {
            ByteBuffer b = ByteBuffer.wrap(bytes);
            long at = pos;
            while (b.hasRemaining()) {
                at += ch.write(b, at);
            }
        }

        @Override
        public byte[] read() throws IOException {
            ByteBuffer b = ByteBuffer.allocate((int) ch.size());
            int at = 0;
            while (b.hasRemaining()) {
                int n = ch.read(b, at);
                if (n < 0) {
                    break;
                }
                at += n;
            }
            return b.array();
        }

        @Override
        public void sync() throws IOException {
            ch.force(false);
        }
    }
}

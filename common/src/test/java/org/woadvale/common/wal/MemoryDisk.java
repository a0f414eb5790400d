package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Files in memory; whatever is written is synced. */
final class MemoryDisk implements Disk {
    final Map<String, byte[]> files = new TreeMap<>();
    boolean wasSetAside;

    @Override
    public List<String> list() {
        return new ArrayList<>(files.keySet());
    }

    @Override
    public DiskFile open(String name, int size) {
        byte[] bytes = files.computeIfAbsent(name, n -> new byte[size]);
        return new DiskFile() {
            @Override
            public int size() {
                return bytes.length;
            }

            @Override
            public void write(long pos, byte[] from, int length) {
                System.arraycopy(from, 0, bytes, (int) pos, length);
            }

            @Override
            public void read(long pos, byte[] into, int length) {
                int there = Math.max(0, Math.min(length, bytes.length - (int) pos));
                System.arraycopy(bytes, (int) pos, into, 0, there);
                Arrays.fill(into, there, length, (byte) 0);
            }

            @Override
            public void sync() {}
        };
    }

    @Override
    public void setAside() {
        wasSetAside = true;
        files.clear();
    }
}

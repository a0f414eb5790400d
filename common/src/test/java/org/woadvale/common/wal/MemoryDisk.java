package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Files in memory; every write counts as synced. */
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
            public void write(long position, byte[] source, int length) {
                System.arraycopy(source, 0, bytes, (int) position, length);
            }

            @Override
            public void read(long position, byte[] into, int length) {
                int available = Math.max(0, Math.min(length, bytes.length - (int) position));
                System.arraycopy(bytes, (int) position, into, 0, available);
                Arrays.fill(into, available, length, (byte) 0);
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

package org.woadvale.testkit.simulation;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadvale.common.wal.Disk;
import org.woadvale.common.wal.DiskFullException;

/** A disk on which a power loss affects unsynced writes: each sector of them is kept, torn or lost. */
public final class SimDisk implements Disk {
    private static final int SECTOR = 512;

    private record Write(int position, byte[] bytes) {
        /** Splits the write into sectors, each of which becomes durable independently. */
        List<Write> sectors() {
            List<Write> sectors = new ArrayList<>();
            for (int at = 0; at < bytes.length; ) {
                int end = Math.min(bytes.length, ((position + at) / SECTOR + 1) * SECTOR - position);
                sectors.add(new Write(position + at, Arrays.copyOfRange(bytes, at, end)));
                at = end;
            }
            return sectors;
        }
    }

    private static final class FileContent {
        byte[] synced;
        final List<Write> unsynced = new ArrayList<>();
        boolean allocated;

        FileContent(int size) {
            synced = new byte[size];
        }

        void apply(Write write, int length) {
            System.arraycopy(write.bytes(), 0, synced, write.position(), length);
        }
    }

    private final Simulator sim;
    private final Map<String, FileContent> files = new HashMap<>();
    private long syncCount;
    private boolean full;
    private long written;

    public SimDisk(Simulator sim) {
        this.sim = sim;
    }

    public long syncCount() {
        return syncCount;
    }

    long written() {
        return written;
    }

    @Override
    public List<String> list() {
        return files.keySet().stream().sorted().toList();
    }

    @Override
    public DiskFile open(String name, int size) {
        FileContent file = files.computeIfAbsent(name, n -> new FileContent(size));
        return new DiskFile() {
            @Override
            public int size() {
                return file.synced.length;
            }

            @Override
            public void allocate() throws IOException {
                reserveSpace(file);
            }

            @Override
            public void write(long pos, byte[] bytes, int length) throws IOException {
                failIfFull();
                written += length;
                sim.trace().add(sim.now(), name);
                file.unsynced.add(new Write((int) pos, Arrays.copyOf(bytes, length)));
            }

            @Override
            public void read(long pos, byte[] into, int length) {
                System.arraycopy(file.synced, (int) pos, into, 0, length);
                file.unsynced.forEach(write -> {
                    int start = Math.max((int) pos, write.position());
                    int end = Math.min((int) pos + length, write.position() + write.bytes().length);
                    if (start < end) {
                        System.arraycopy(write.bytes(), start - write.position(), into, start - (int) pos, end - start);
                    }
                });
            }

            @Override
            public void sync() {
                syncCount++;
                file.unsynced.forEach(write -> file.apply(write, write.bytes().length));
                file.unsynced.clear();
            }
        };
    }

    /** While full, the disk accepts neither new files nor writes to existing ones. */
    public void setFull(boolean isFull) {
        full = isFull;
    }

    private void failIfFull() throws DiskFullException {
        if (full) {
            throw new DiskFullException("No space left on device");
        }
    }

    private void reserveSpace(FileContent file) throws DiskFullException {
        if (!file.allocated) {
            failIfFull();
        }
        file.allocated = true;
    }

    @Override
    public void setAside() {
        files.clear();
    }

    /** Deletes all files, as on the loss or replacement of the disk. */
    public void wipe() {
        files.clear();
    }

    /** A copy of the current synced bytes. */
    public SimDisk copy() {
        SimDisk copied = new SimDisk(sim);
        copied.copyFrom(this);
        return copied;
    }

    /** Replaces all files by copies of the synced bytes of another disk or of an earlier state of this one. */
    public void copyFrom(SimDisk other) {
        files.clear();
        other.files.forEach((name, file) -> {
            FileContent copied = new FileContent(file.synced.length);
            System.arraycopy(file.synced, 0, copied.synced, 0, copied.synced.length);
            copied.allocated = file.allocated;
            files.put(name, copied);
        });
    }

    /** Writes the synced bytes of all files, for a later {@link #load}. */
    public void save(DataOutputStream out) throws IOException {
        out.writeInt(files.size());
        for (String name : list()) {
            FileContent file = files.get(name);
            out.writeUTF(name);
            out.writeBoolean(file.allocated);
            out.writeInt(file.synced.length);
            out.write(file.synced);
        }
    }

    /** Replaces all files by what {@link #save} wrote. */
    public void load(DataInputStream in) throws IOException {
        files.clear();
        int count = in.readInt();
        for (int i = 0; i < count; i++) {
            String name = in.readUTF();
            boolean allocated = in.readBoolean();
            FileContent file = new FileContent(in.readInt());
            file.allocated = allocated;
            in.readFully(file.synced);
            files.put(name, file);
        }
    }

    /** Corrupts one byte of the synced content of a file. */
    public void damage(String name, int at) {
        files.get(name).synced[at] ^= 0x55;
    }

    public void powerLoss() {
        files.values().forEach(file -> {
            file.unsynced.stream().flatMap(write -> write.sectors().stream()).forEach(write -> {
                int outcome = sim.random().nextInt(3);
                int kept = outcome == 0
                        ? 0
                        : outcome == 1 ? write.bytes().length : sim.random().nextInt(write.bytes().length + 1);
                file.apply(write, kept);
            });
            file.unsynced.clear();
        });
    }
}

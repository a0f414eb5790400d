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

/** A disk that forgets unsynced writes when the power goes: each sector may be kept, torn or lost. */
public final class SimDisk implements Disk {
    private static final int SECTOR = 512;

    private record Write(int pos, byte[] bytes) {
        /** The sectors reach the platter each by itself. */
        List<Write> sectors() {
            List<Write> out = new ArrayList<>();
            for (int at = 0; at < bytes.length; ) {
                int end = Math.min(bytes.length, ((pos + at) / SECTOR + 1) * SECTOR - pos);
                out.add(new Write(pos + at, Arrays.copyOfRange(bytes, at, end)));
                at = end;
            }
            return out;
        }
    }

    private static final class Platter {
        byte[] synced;
        final List<Write> loose = new ArrayList<>();
        boolean allocated;

        Platter(int size) {
            synced = new byte[size];
        }

        void keep(Write write, int length) {
            System.arraycopy(write.bytes(), 0, synced, write.pos(), length);
        }
    }

    private final Simulator sim;
    private final Map<String, Platter> files = new HashMap<>();
    private long syncs;
    private boolean full;
    private long written;

    public SimDisk(Simulator sim) {
        this.sim = sim;
    }

    public long syncs() {
        return syncs;
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
        Platter platter = files.computeIfAbsent(name, n -> new Platter(size));
        return new DiskFile() {
            @Override
            public int size() {
                return platter.synced.length;
            }

            @Override
            public void allocate() throws IOException {
                takeSpace(platter);
            }

            @Override
            public void write(long pos, byte[] bytes, int length) throws IOException {
                failIfFull();
                written += length;
                sim.trace().add(sim.now(), name);
                platter.loose.add(new Write((int) pos, Arrays.copyOf(bytes, length)));
            }

            @Override
            public void read(long pos, byte[] into, int length) {
                System.arraycopy(platter.synced, (int) pos, into, 0, length);
                platter.loose.forEach(write -> {
                    int start = Math.max((int) pos, write.pos());
                    int end = Math.min((int) pos + length, write.pos() + write.bytes().length);
                    if (start < end) {
                        System.arraycopy(write.bytes(), start - write.pos(), into, start - (int) pos, end - start);
                    }
                });
            }

            @Override
            public void sync() {
                syncs++;
                platter.loose.forEach(write -> platter.keep(write, write.bytes().length));
                platter.loose.clear();
            }
        };
    }

    /** Takes no more bytes, as long as that lasts: neither new files nor new bytes in old ones. */
    public void setFull(boolean now) {
        full = now;
    }

    private void failIfFull() throws DiskFullException {
        if (full) {
            throw new DiskFullException("No space left on device");
        }
    }

    private void takeSpace(Platter file) throws DiskFullException {
        if (!file.allocated) {
            failIfFull();
        }
        file.allocated = true;
    }

    @Override
    public void setAside() {
        files.clear();
    }

    /** The disk is lost or replaced. */
    public void wipe() {
        files.clear();
    }

    /** The synced bytes as they are now. */
    public SimDisk copy() {
        SimDisk copied = new SimDisk(sim);
        copied.become(this);
        return copied;
    }

    /** Another disk, or an earlier state of this one, in its place; both keep their bytes to themselves. */
    public void become(SimDisk other) {
        files.clear();
        other.files.forEach((name, platter) -> {
            Platter same = new Platter(platter.synced.length);
            System.arraycopy(platter.synced, 0, same.synced, 0, same.synced.length);
            same.allocated = platter.allocated;
            files.put(name, same);
        });
    }

    /** Writes the synced bytes of all files, for a later {@link #load}. */
    public void save(DataOutputStream out) throws IOException {
        out.writeInt(files.size());
        for (String name : list()) {
            Platter file = files.get(name);
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
            Platter file = new Platter(in.readInt());
            file.allocated = allocated;
            in.readFully(file.synced);
            files.put(name, file);
        }
    }

    /** Bytes go bad in the middle of what was synced. */
    public void damage(String name, int at) {
        files.get(name).synced[at] ^= 0x55;
    }

    public void powerLoss() {
        files.values().forEach(platter -> {
            platter.loose.stream().flatMap(write -> write.sectors().stream()).forEach(write -> {
                int fate = sim.random().nextInt(3);
                int keep = fate == 0
                        ? 0
                        : fate == 1 ? write.bytes().length : sim.random().nextInt(write.bytes().length + 1);
                platter.keep(write, keep);
            });
            platter.loose.clear();
        });
    }
}

package org.woadvale.trials.squall;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.woadvale.foundation.logbook.Disk;

/** A disk that forgets unsynced writes when the power goes: each may be kept, torn or lost. */
public final class SimDisk implements Disk {
    private record Write(long pos, byte[] bytes) { }

    private static final class Platter {
        byte[] synced;
        final List<Write> loose = new ArrayList<>();

        Platter(int size) {
            synced = new byte[size];
        }

        static void put(byte[] onto, Write w, int length) {
            System.arraycopy(w.bytes(), 0, onto, (int) w.pos(), length);
        }
    }

    private final Sim sim;
    private final Map<String, Platter> files = new HashMap<>();
    private long syncs;

    public SimDisk(Sim sim) {
        this.sim = sim;
    }

    public long syncs() {
        return syncs;
    }

    @Override
    public List<String> list() {
        return files.keySet().stream().sorted().toList();
    }

    @Override
    public Leaf open(String name, int size) {
        Platter p = files.computeIfAbsent(name, n -> new Platter(size));
        return new Leaf() {
            @Override
            public void write(long pos, byte[] bytes) {
                p.loose.add(new Write(pos, bytes.clone()));
            }

            @Override
            public byte[] read() {
                byte[] all = p.synced.clone();
                p.loose.forEach(w -> Platter.put(all, w, w.bytes().length));
                return all;
            }

            @Override
            public void sync() {
                syncs++;
                p.loose.forEach(w -> Platter.put(p.synced, w, w.bytes().length));
                p.loose.clear();
            }
        };
    }

    @Override
    public void setAside() {
        files.clear();
    }

    /** The disk is lost or replaced. */
    public void wipe() {
        files.clear();
    }

    /** Bytes go bad in the middle of what was synced. */
    public void damage(String name, int at) {
        files.get(name).synced[at] ^= 0x55;
    }

    public void powerLoss() {
        files.values().forEach(p -> {
            p.loose.forEach(w -> {
                int fate = sim.random().nextInt(3);
                int keep = fate == 0 ? 0 : fate == 1 ? w.bytes().length : sim.random().nextInt(w.bytes().length + 1);
                Platter.put(p.synced, w, keep);
            });
            p.loose.clear();
        });
    }
}

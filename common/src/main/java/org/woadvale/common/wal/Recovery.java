package org.woadvale.common.wal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads a ring back, piece by piece. Torn tails are cut; damage before the tail condemns the folder: design 4.3. */
final class Recovery {
    /** The folder cannot be trusted; its parts must be treated as lost. */
    static final class Damaged extends Exception {
        private static final long serialVersionUID = 1L;

        Damaged(String why) {
            super(why, null, false, false);
        }
    }

    final Map<String, List<Entry>> parts = new LinkedHashMap<>();
    /** Segment of the oldest record still needed by each part. */
    final Map<String, Long> needs = new LinkedHashMap<>();

    long segment;
    int pos;
    long batch;
    private boolean oldestBreaksOff;

    static Recovery run(List<Disk.Leaf> files) throws Damaged, RecordFormat.Newer, IOException {
        Recovery r = new Recovery();
        long newest = -1;
        long oldest = Long.MAX_VALUE;
        int n = files.size();
        for (int i = 0; i < n; i++) {
            Optional<RecordFormat.Found> first = RecordFormat.read(new ReadWindow(files.get(i)), 0);
            if (first.isPresent()) {
                long s = first.get().segment();
                if (s % n != i) {
                    throw new Damaged("file " + i + " holds segment " + s);
                }
                newest = Math.max(newest, s);
                oldest = Math.min(oldest, s);
            }
        }
        if (newest < 0) {
            for (int i = 1; i < n; i++) {
                mustBeUnused(new ReadWindow(files.get(i)), i);
            }
            r.checkTail(new ReadWindow(files.get(0)), 0, 0);
            return r;
        }
        boolean wrapped = newest - oldest + 1 == n;
        for (long s = oldest; s <= newest; s++) {
            r.segment(new ReadWindow(files.get((int) (s % n))), s, s == newest, wrapped && s == oldest);
        }
        boolean rolled = r.segment == newest + 1;
        r.checkOldest(oldest, Math.max(0, newest - n + 1), rolled && newest + 1 >= n);
        if (!wrapped || rolled) {
            r.checkTail(new ReadWindow(files.get((int) ((newest + 1) % n))), newest + 1, 0);
        }
        return r;
    }

    /** All segments that the ring can hold must be there, but for the oldest while the next one is written over it. */
    private void checkOldest(long oldest, long expected, boolean writtenOver) throws Damaged {
        boolean missing = oldestBreaksOff || oldest > expected;
        if (!missing) {
            return;
        }
        if (!writtenOver || oldest > expected + 1) {
            throw new Damaged("segment " + expected + " is missing or breaks off");
        }
        for (List<Entry> part : parts.values()) {
            if (part.get(0).kind() != Entry.Kind.BASE) {
                throw new Damaged("segment " + expected + " was still needed by "
                        + part.get(0).part());
            }
        }
    }

    private static void mustBeUnused(ReadWindow file, int i) throws Damaged, IOException {
        if (!file.zero(0, file.size())) {
            throw new Damaged("file " + i + " is unreadable");
        }
    }

    /**
     * The oldest segment of a ring that has wrapped may be half written over by the first batch of the next segment:
     * that begins only once nothing in the oldest one is needed.
     */
    private void segment(ReadWindow file, long s, boolean last, boolean mayBeWrittenOver)
            throws Damaged, RecordFormat.Newer, IOException {
        int at = 0;
        while (true) {
            Optional<RecordFormat.Found> f = RecordFormat.read(file, at);
            if (f.isEmpty() || f.get().segment() != s) {
                if (mayBeWrittenOver) {
                    oldestBreaksOff = true;
                    parts.clear();
                    needs.clear();
                    return;
                }
                if (!last) {
                    throw new Damaged("segment " + s + " breaks off at " + at);
                }
                checkTail(file, s, at);
                segment = s;
                pos = at;
                return;
            }
            batch = f.get().batch();
            at = f.get().next();
            if (f.get().roll()) {
                if (last) {
                    segment = s + 1;
                    pos = 0;
                }
                return;
            }
            take(f.get().entry().orElseThrow(), s);
        }
    }

    private void take(Entry e, long s) {
        if (e.kind() == Entry.Kind.BASE) {
            parts.put(e.part(), new ArrayList<>());
            needs.put(e.part(), s);
        }
        parts.computeIfAbsent(e.part(), p -> new ArrayList<>()).add(e);
        needs.putIfAbsent(e.part(), s);
    }

    /** A sound record of a later batch beyond the break proves that synced bytes were lost. */
    private void checkTail(ReadWindow file, long s, int from) throws Damaged, RecordFormat.Newer, IOException {
        for (int at = from; at + RecordFormat.HEAD + 18 <= file.size(); at++) {
            if (file.at(at + RecordFormat.HEAD) < 1
                    || file.look(at + RecordFormat.HEAD + 1, 8).getLong() != s) {
                continue;
            }
            Optional<RecordFormat.Found> f = RecordFormat.read(file, at);
            if (f.isPresent() && f.get().batch() > batch + 1) {
                throw new Damaged("segment " + s + " is damaged at " + from + ", before synced records");
            }
        }
    }
}

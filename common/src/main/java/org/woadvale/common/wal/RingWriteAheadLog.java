package org.woadvale.common.wal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.Timers;

/** One ring of preallocated files; one sync serves everything that waited: design 4. */
public final class RingWriteAheadLog implements WriteAheadLog {
    private static final Logger LOG = LogManager.getLogger("logbook");

    /** So many files later a part is asked again. */
    private static final long ASK_AGAIN = 1;

    private record Job(List<Entry> entries, Runnable done) {}

    private final Timers schedules;
    private final int size;
    private final List<Disk.Leaf> leaves = new ArrayList<>();
    private final Map<String, List<Entry>> recovered;
    private final Map<String, Long> needs = new HashMap<>();
    /** In which segment a part was asked for a base that has not been written yet. */
    private final Map<String, Long> asked = new HashMap<>();

    private final WriteBatch gather = new WriteBatch();
    private final Map<String, Runnable> pressure = new ConcurrentHashMap<>();
    private List<Job> waiting = new ArrayList<>();
    private Consumer<String> failure = why -> {};
    private long segment;
    private int pos;
    private long batch;
    private boolean flushing;
    private boolean failed;
    private volatile long syncs;
    private volatile boolean nearlyFull;

    private RingWriteAheadLog(Disk disk, Timers schedules, int files, int size) throws IOException, RecordFormat.Newer {
        this.schedules = schedules;
        this.size = size;
        openAll(disk, files);
        Recovery r;
        try {
            r = Recovery.run(leaves);
        } catch (Recovery.Damaged e) {
            LOG.error("logbook: the folder is damaged ({}); set aside, starting blank.", e.getMessage());
            disk.setAside();
            openAll(disk, files);
            r = new Recovery();
        }
        recovered = r.parts;
        needs.putAll(r.needs);
        segment = r.segment;
        pos = r.pos;
        batch = r.batch;
        if (segment - oldestNeeded() >= leaves.size()) {
            // the file that comes next still holds what is needed: nothing may be written over it. design 4.1
            throw new IOException("the ring is full, and no file can be freed; repair this copy from the others");
        }
        new ReadWindow(leaves.get(file())).blank(pos);
        leaves.get(file()).sync();
    }

    private void openAll(Disk disk, int files) throws IOException {
        leaves.clear();
        boolean torn = !disk.list().isEmpty()
                && disk.list().stream().filter(f -> f.startsWith("ring-")).count() < files;
        for (int i = 0; i < files; i++) {
            leaves.add(disk.open(String.format("ring-%02d", i), size));
        }
        if (torn) {
            LOG.warn("logbook: some ring files were missing and were made anew.");
        }
    }

    public static RingWriteAheadLog open(Disk disk, Timers schedules, int files, int size) throws ServiceException {
        try {
            return new RingWriteAheadLog(disk, schedules, files, size);
        } catch (RecordFormat.Newer e) {
            throw new ServiceException(ErrorKind.UNAVAILABLE, "The data folder was " + e.getMessage() + ".");
        } catch (IOException e) {
            throw new ServiceException(ErrorKind.UNAVAILABLE, "Cannot open the data folder: " + e.getMessage());
        }
    }

    private int file() {
        return (int) (segment % leaves.size());
    }

    @Override
    public Map<String, List<Entry>> recovered() {
        return recovered;
    }

    @Override
    public synchronized void append(List<Entry> entries, Runnable done) {
        if (failed) {
            return;
        }
        waiting.add(new Job(entries, done));
        if (!flushing) {
            flushing = true;
            schedules.onDisk(this::flush);
        }
    }

    private void flush() {
        List<Job> jobs;
        synchronized (this) {
            jobs = waiting;
            waiting = new ArrayList<>();
        }
        try {
            write(jobs);
        } catch (IOException e) {
            fail(e.getMessage());
            return;
        }
        jobs.forEach(j -> schedules.soon(j.done()));
        synchronized (this) {
            if (waiting.isEmpty()) {
                flushing = false;
            } else {
                schedules.onDisk(this::flush);
            }
        }
        relieve();
    }

    private synchronized void fail(String why) {
        failed = true;
        LOG.error("logbook: the disk failed: {}.", why);
        failure.accept(why);
    }

    private void write(List<Job> jobs) throws IOException {
        batch++;
        boolean any = false;
        for (Job j : jobs) {
            for (Entry e : j.entries()) {
                put(e);
                any = true;
            }
        }
        if (any) {
            gather.flush(leaves.get(file()), pos);
            leaves.get(file()).sync();
            syncs++;
        }
    }

    private void put(Entry e) throws IOException {
        int need = RecordFormat.size(e);
        int rollSize = RecordFormat.HEAD + 18;
        if (need + rollSize > size) {
            throw new IOException("a record of " + need + " bytes is larger than a ring file");
        }
        if (pos + need + rollSize > size) {
            gather.add(leaves.get(file()), pos, RecordFormat.roll(segment, batch));
            gather.flush(leaves.get(file()), pos + rollSize);
            leaves.get(file()).sync();
            syncs++;
            segment++;
            pos = 0;
            if (segment - oldestNeeded() >= leaves.size()) {
                throw new IOException("the ring is full");
            }
        }
        byte[] head = RecordFormat.head(segment, batch, e);
        gather.add(leaves.get(file()), pos, head);
        gather.add(leaves.get(file()), pos + head.length, e.bytes());
        pos += need;
        synchronized (needs) {
            if (e.kind() == Entry.Kind.BASE) {
                needs.put(e.part(), segment);
                asked.remove(e.part());
            } else {
                needs.putIfAbsent(e.part(), segment);
            }
        }
    }

    private long oldestNeeded() {
        synchronized (needs) {
            return needs.values().stream().mapToLong(Long::longValue).min().orElse(segment);
        }
    }

    /** ControlMessages the parts that hold back the oldest files for new bases. */
    private void relieve() {
        long used = segment - oldestNeeded() + 1;
        nearlyFull = used >= leaves.size() - Math.max(1, leaves.size() / 8);
        if (used > leaves.size() / 2) {
            long oldest = oldestNeeded();
            List<String> holding = new ArrayList<>();
            synchronized (needs) {
                needs.forEach((p, s) -> {
                    // one that was asked has its base on the way: another would only fill the ring. design 4.1
                    boolean underWay = segment <= asked.getOrDefault(p, -ASK_AGAIN) + ASK_AGAIN;
                    if (s <= oldest + 1 && !underWay) {
                        asked.put(p, segment);
                        holding.add(p);
                    }
                });
            }
            holding.forEach(p -> schedules.soon(pressure.getOrDefault(p, () -> {})));
        }
    }

    @Override
    public void onPressure(String part, Runnable giveBase) {
        pressure.put(part, giveBase);
    }

    @Override
    public boolean nearlyFull() {
        return nearlyFull;
    }

    @Override
    public synchronized void onFailure(Consumer<String> why) {
        failure = why;
    }

    @Override
    public long syncs() {
        return syncs;
    }

    @Override
    public synchronized long filesWritten() {
        return segment + 1;
    }

    @Override
    public int largest() {
        return size - 256;
    }
}

package org.woadvale.common.replication;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.wal.Entry;

/** What a replica writes to the wal and reads back from it: design 5.4. */
final class ReplicaStorage {
    private static final long LARGE = 4L << 20;
    private static final int MANY = 8192;
    /** So many bytes of the log are kept for followers that are on their way from a snapshot. */
    private static final long KEPT_FOR_FOLLOWERS = 4L << 20;

    private final Replica r;
    private long synced;
    /** Shared by all followers that need one; gone with the last of them. */
    private WeakReference<SnapshotContent> latestSnapshot = new WeakReference<>(null);

    ReplicaStorage(Replica r) {
        this.r = r;
    }

    long synced() {
        return synced;
    }

    void recover(List<Entry> entries) throws ServiceException {
        if (entries.isEmpty()) {
            r.identity = ReplicaIdentity.make(r.env.random(), r.env.self());
            giveBase();
            return;
        }
        for (Entry stored : entries) {
            Entry e = LegacyFormat.lifted(stored, r.env.codec());
            switch (e.kind()) {
                case BASE -> load(r.env.codec().read(e.bytes(), Messages.Base.class));
                case VOTE -> {
                    r.term = e.term();
                    r.votedFor = r.env.codec().read(e.bytes(), String.class);
                }
                default -> replay(e);
            }
        }
        synced = r.replicatedLog.lastIndex();
        if (!ReplicaIdentity.belongsTo(r.identity, r.env.self())) {
            Replica.LOG.error("keeper: the disk of {} was written as {}: it counts as lost.", r.env.self(), r.identity);
            takeNewIdentity(() -> {});
        } else if (r.voter) {
            r.become(Phase.FOLLOWING, "recovered");
        }
    }

    /** What is stored may be used to catch up, but this replica neither votes nor counts until it is promoted again. */
    void takeNewIdentity(Runnable then) {
        r.identity = ReplicaIdentity.make(r.env.random(), r.env.self());
        r.voter = false;
        giveBase(then);
    }

    private void load(Messages.Base b) {
        r.identity = b.identity();
        r.term = b.term();
        r.votedFor = b.votedFor();
        r.voter = b.voter();
        r.replicatedLog.reset(b.index(), b.indexTerm(), List.of());
        r.groups.reset(b.group());
        if (b.machine().length > 0) {
            r.machine.restore(b.machine());
        }
        r.progress.restored(b.index());
        long i = b.index();
        for (LogEntry item : b.tail()) {
            i++;
            enter(i, item);
        }
    }

    private void replay(Entry e) throws ServiceException {
        r.replicatedLog.cutFrom(e.index());
        r.groups.cutFrom(e.index());
        if (e.term() > r.term) {
            // a build that did not note its owners: nobody is known to hold a lease of this term. design 5.3
            r.term = e.term();
            r.votedFor = "";
        }
        enter(e.index(), r.env.codec().read(e.bytes(), LogEntry.class));
    }

    private void enter(long index, LogEntry item) {
        r.replicatedLog.append(item);
        if (item.kind() == LogEntry.Kind.GROUP) {
            r.groups.appended(index, members(item));
        }
    }

    Map<String, String> members(LogEntry item) {
        try {
            Map<String, String> out = new TreeMap<>();
            r.env.codec().read(item.bytes(), Map.class).forEach((k, v) -> out.put((String) k, (String) v));
            return out;
        } catch (ServiceException e) {
            throw new IllegalStateException("unreadable group entry", e);
        }
    }

    /** Adds to the memory log and to the disk; then runs once synced, unless the entry was cut since. */
    void append(List<LogEntry> items, Runnable then) {
        long first = r.replicatedLog.lastIndex() + 1;
        List<Entry> out = new ArrayList<>();
        for (LogEntry item : items) {
            long index = r.replicatedLog.lastIndex() + 1;
            enter(index, item);
            out.add(new Entry(
                    r.part, Entry.Kind.ENTRY, index, item.term(), r.env.codec().write(item)));
        }
        long last = r.replicatedLog.lastIndex();
        long lastTerm = r.replicatedLog.lastTerm();
        if (last < first) {
            then.run();
            return;
        }
        r.env.wal()
                .append(
                        out,
                        () -> r.shard.run(() -> {
                            if (r.phase != Phase.STOPPED) {
                                if (r.replicatedLog.holds(last) && r.replicatedLog.termAt(last) == lastTerm) {
                                    synced = Math.max(synced, last);
                                }
                                then.run();
                            }
                        }));
    }

    void cutFrom(long index) {
        r.replicatedLog.cutFrom(index);
        r.groups.cutFrom(index);
        synced = Math.min(synced, index - 1);
    }

    void vote(Runnable then) {
        r.env.wal()
                .append(
                        List.of(new Entry(
                                r.part,
                                Entry.Kind.VOTE,
                                0,
                                r.term,
                                r.env.codec().write(r.votedFor))),
                        () -> r.shard.run(() -> {
                            if (r.phase != Phase.STOPPED) {
                                then.run();
                            }
                        }));
    }

    Messages.Base base() {
        long upTo = r.progress.applied();
        List<LogEntry> tail = r.replicatedLog.tail();
        int skip = (int) (upTo - r.replicatedLog.baseIndex());
        return new Messages.Base(
                r.identity,
                r.term,
                r.votedFor,
                r.voter,
                upTo,
                r.replicatedLog.termAt(upTo),
                r.groups.committed(),
                r.machine.view(),
                List.copyOf(tail.subList(skip, tail.size())));
    }

    /** The state up to what is applied, without what only concerns this replica. */
    Messages.Base snapshotBase() {
        Messages.Base own = base();
        return new Messages.Base(
                "", r.term, "", false, own.index(), own.indexTerm(), own.group(), own.machine(), List.of());
    }

    /** The same snapshot as long as the log goes on from it: a follower that is on its way gets no other one. */
    SnapshotContent snapshotForFollowers() {
        SnapshotContent latest = latestSnapshot.get();
        if (latest == null || latest.index() < r.replicatedLog.baseIndex()) {
            Messages.Base base = snapshotBase();
            latest = SnapshotContent.of(
                    base.index(), base.indexTerm(), r.env.codec().write(base));
            latestSnapshot = new WeakReference<>(latest);
        }
        return latest;
    }

    void giveBase() {
        giveBase(() -> {});
    }

    /** A new base makes every earlier record of the part needless. */
    void giveBase(Runnable then) {
        if (r.phase == Phase.STOPPED) {
            return;
        }
        Messages.Base b = base();
        long keptFrom = r.replicatedLog.bytes() > KEPT_FOR_FOLLOWERS ? b.index() : r.leading.logNeededFrom(b.index());
        r.replicatedLog.compacted(b.index(), keptFrom);
        long last = r.replicatedLog.lastIndex();
        long lastTerm = r.replicatedLog.lastTerm();
        r.env.wal()
                .append(
                        List.of(new Entry(
                                r.part,
                                Entry.Kind.BASE,
                                b.index(),
                                b.term(),
                                r.env.codec().write(b))),
                        () -> r.shard.run(() -> {
                            if (r.phase != Phase.STOPPED) {
                                if (r.replicatedLog.holds(last) && r.replicatedLog.termAt(last) == lastTerm) {
                                    synced = Math.max(synced, last);
                                }
                                then.run();
                            }
                        }));
    }

    /** Replaces all we have by the owner's view. */
    void install(Messages.Base b, Runnable then) {
        r.replicatedLog.reset(b.index(), b.indexTerm(), List.of());
        r.groups.reset(b.group());
        r.machine.restore(b.machine());
        r.progress.restored(b.index());
        synced = Math.min(synced, b.index());
        giveBase(then);
    }

    void compactIfLarge() {
        ReplicatedLog log = r.replicatedLog;
        boolean large = log.bytesAfterCompacted() > Math.min(LARGE, r.env.wal().largest() / 4)
                || log.lastIndex() - log.compactedIndex() > MANY;
        if (large && r.progress.applied() > log.compactedIndex()) {
            giveBase();
        }
    }
}

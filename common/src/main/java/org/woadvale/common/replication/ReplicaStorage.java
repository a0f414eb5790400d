package org.woadvale.common.replication;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.wal.WalRecord;

/** What a replica writes to the wal and reads back from it: design 5.4. */
final class ReplicaStorage {
    private static final long COMPACTION_BYTES = 4L << 20;
    private static final int COMPACTION_ENTRIES = 8192;
    /** So many bytes of the log are kept for followers that are on their way from a snapshot. */
    private static final long KEPT_FOR_FOLLOWERS = 4L << 20;

    private final Replica r;
    private long syncedIndex;
    /** Shared by all followers that need one; gone with the last of them. */
    private WeakReference<SnapshotContent> latestSnapshot = new WeakReference<>(null);

    ReplicaStorage(Replica r) {
        this.r = r;
    }

    long syncedIndex() {
        return syncedIndex;
    }

    void recover(List<WalRecord> entries) throws ServiceException {
        if (entries.isEmpty()) {
            r.identity = ReplicaIdentity.create(r.environment.random(), r.environment.self());
            storeSnapshot();
            return;
        }
        for (WalRecord stored : entries) {
            WalRecord e = LegacyFormat.upgraded(stored, r.environment.codec());
            switch (e.kind()) {
                case SNAPSHOT ->
                    restoreSnapshot(r.environment.codec().read(e.bytes(), ReplicationMessages.ReplicaSnapshot.class));
                case VOTE -> {
                    r.term = e.term();
                    r.votedFor = r.environment.codec().read(e.bytes(), String.class);
                }
                default -> replay(e);
            }
        }
        syncedIndex = r.replicatedLog.lastIndex();
        if (!ReplicaIdentity.belongsTo(r.identity, r.environment.self())) {
            Replica.LOG.error(
                    "keeper: the disk of {} was written as {}: it counts as lost.", r.environment.self(), r.identity);
            replaceIdentity(() -> {});
        } else if (r.voter) {
            r.transitionTo(Role.FOLLOWER, "recovered");
        }
    }

    /** What is stored may be used to catch up, but this replica neither votes nor counts until it is promoted again. */
    void replaceIdentity(Runnable then) {
        r.identity = ReplicaIdentity.create(r.environment.random(), r.environment.self());
        r.voter = false;
        storeSnapshot(then);
    }

    private void restoreSnapshot(ReplicationMessages.ReplicaSnapshot b) {
        r.identity = b.identity();
        r.term = b.term();
        r.votedFor = b.votedFor();
        r.voter = b.voter();
        r.replicatedLog.reset(b.index(), b.indexTerm(), List.of());
        r.membership.reset(b.members());
        if (b.state().length > 0) {
            r.stateMachine.restore(b.state());
        }
        r.commits.resetTo(b.index());
        long i = b.index();
        for (LogEntry item : b.entries()) {
            i++;
            appendInMemory(i, item);
        }
    }

    private void replay(WalRecord e) throws ServiceException {
        r.replicatedLog.truncateFrom(e.index());
        r.membership.truncateFrom(e.index());
        if (e.term() > r.term) {
            // a build that did not note its owners: nobody is known to hold a lease of this term. design 5.3
            r.term = e.term();
            r.votedFor = "";
        }
        appendInMemory(e.index(), r.environment.codec().read(e.bytes(), LogEntry.class));
    }

    private void appendInMemory(long index, LogEntry item) {
        r.replicatedLog.append(item);
        if (item.kind() == LogEntry.Kind.MEMBERSHIP) {
            r.membership.onAppended(index, decodeMembers(item));
        }
    }

    Map<String, String> decodeMembers(LogEntry item) {
        try {
            Map<String, String> out = new TreeMap<>();
            r.environment.codec().read(item.bytes(), Map.class).forEach((k, v) -> out.put((String) k, (String) v));
            return out;
        } catch (ServiceException e) {
            throw new IllegalStateException("unreadable group entry", e);
        }
    }

    /** Adds to the memory log and to the disk; then runs once synced, unless the entry was cut since. */
    void append(List<LogEntry> items, Runnable then) {
        long first = r.replicatedLog.lastIndex() + 1;
        List<WalRecord> out = new ArrayList<>();
        for (LogEntry item : items) {
            long index = r.replicatedLog.lastIndex() + 1;
            appendInMemory(index, item);
            out.add(new WalRecord(
                    r.partition,
                    WalRecord.Kind.ENTRY,
                    index,
                    item.term(),
                    r.environment.codec().write(item)));
        }
        long last = r.replicatedLog.lastIndex();
        long lastTerm = r.replicatedLog.lastTerm();
        if (last < first) {
            then.run();
            return;
        }
        r.environment
                .wal()
                .append(
                        out,
                        () -> r.shard.run(() -> {
                            if (r.role != Role.STOPPED) {
                                if (r.replicatedLog.contains(last) && r.replicatedLog.termAt(last) == lastTerm) {
                                    syncedIndex = Math.max(syncedIndex, last);
                                }
                                then.run();
                            }
                        }));
    }

    void truncateFrom(long index) {
        r.replicatedLog.truncateFrom(index);
        r.membership.truncateFrom(index);
        syncedIndex = Math.min(syncedIndex, index - 1);
    }

    void storeVote(Runnable then) {
        r.environment
                .wal()
                .append(
                        List.of(new WalRecord(
                                r.partition,
                                WalRecord.Kind.VOTE,
                                0,
                                r.term,
                                r.environment.codec().write(r.votedFor))),
                        () -> r.shard.run(() -> {
                            if (r.role != Role.STOPPED) {
                                then.run();
                            }
                        }));
    }

    ReplicationMessages.ReplicaSnapshot snapshot() {
        long upTo = r.commits.appliedIndex();
        List<LogEntry> tail = r.replicatedLog.entries();
        int skip = (int) (upTo - r.replicatedLog.baseIndex());
        return new ReplicationMessages.ReplicaSnapshot(
                r.identity,
                r.term,
                r.votedFor,
                r.voter,
                upTo,
                r.replicatedLog.termAt(upTo),
                r.membership.committed(),
                r.stateMachine.snapshot(),
                List.copyOf(tail.subList(skip, tail.size())));
    }

    /** The state up to what is applied, without what only concerns this replica. */
    ReplicationMessages.ReplicaSnapshot snapshotWithoutIdentity() {
        ReplicationMessages.ReplicaSnapshot own = snapshot();
        return new ReplicationMessages.ReplicaSnapshot(
                "", r.term, "", false, own.index(), own.indexTerm(), own.members(), own.state(), List.of());
    }

    /** The same snapshot as long as the log goes on from it: a follower that is on its way gets no other one. */
    SnapshotContent snapshotForFollowers() {
        SnapshotContent latest = latestSnapshot.get();
        if (latest == null || latest.index() < r.replicatedLog.baseIndex()) {
            ReplicationMessages.ReplicaSnapshot base = snapshotWithoutIdentity();
            latest = SnapshotContent.of(
                    base.index(), base.indexTerm(), r.environment.codec().write(base));
            latestSnapshot = new WeakReference<>(latest);
        }
        return latest;
    }

    void storeSnapshot() {
        storeSnapshot(() -> {});
    }

    /** A new base makes every earlier record of the part needless. */
    void storeSnapshot(Runnable then) {
        if (r.role == Role.STOPPED) {
            return;
        }
        ReplicationMessages.ReplicaSnapshot b = snapshot();
        long keptFrom = r.replicatedLog.bytes() > KEPT_FOR_FOLLOWERS ? b.index() : r.leader.firstIndexNeeded(b.index());
        r.replicatedLog.compacted(b.index(), keptFrom);
        long last = r.replicatedLog.lastIndex();
        long lastTerm = r.replicatedLog.lastTerm();
        r.environment
                .wal()
                .append(
                        List.of(new WalRecord(
                                r.partition,
                                WalRecord.Kind.SNAPSHOT,
                                b.index(),
                                b.term(),
                                r.environment.codec().write(b))),
                        () -> r.shard.run(() -> {
                            if (r.role != Role.STOPPED) {
                                if (r.replicatedLog.contains(last) && r.replicatedLog.termAt(last) == lastTerm) {
                                    syncedIndex = Math.max(syncedIndex, last);
                                }
                                then.run();
                            }
                        }));
    }

    /** Replaces all we have by the owner's view. */
    void installSnapshot(ReplicationMessages.ReplicaSnapshot b, Runnable then) {
        r.replicatedLog.reset(b.index(), b.indexTerm(), List.of());
        r.membership.reset(b.members());
        r.stateMachine.restore(b.state());
        r.commits.resetTo(b.index());
        syncedIndex = Math.min(syncedIndex, b.index());
        storeSnapshot(then);
    }

    void compactIfNeeded() {
        ReplicatedLog log = r.replicatedLog;
        boolean large = log.bytesAfterCompacted()
                        > Math.min(COMPACTION_BYTES, r.environment.wal().largestRecordBytes() / 4)
                || log.lastIndex() - log.compactedIndex() > COMPACTION_ENTRIES;
        if (large && r.commits.appliedIndex() > log.compactedIndex()) {
            storeSnapshot();
        }
    }
}

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

    private final Replica replica;
    private long syncedIndex;
    /** Shared by all followers that need one; gone with the last of them. */
    private WeakReference<SnapshotContent> latestSnapshot = new WeakReference<>(null);

    ReplicaStorage(Replica replica) {
        this.replica = replica;
    }

    long syncedIndex() {
        return syncedIndex;
    }

    void recover(List<WalRecord> entries) throws ServiceException {
        if (entries.isEmpty()) {
            replica.identity = ReplicaIdentity.create(replica.environment.random(), replica.environment.self());
            storeSnapshot();
            return;
        }
        for (WalRecord stored : entries) {
            WalRecord record = LegacyFormat.upgraded(stored, replica.environment.codec());
            switch (record.kind()) {
                case SNAPSHOT ->
                    restoreSnapshot(replica.environment
                            .codec()
                            .read(record.bytes(), ReplicationMessages.ReplicaSnapshot.class));
                case VOTE -> {
                    replica.term = record.term();
                    replica.votedFor = replica.environment.codec().read(record.bytes(), String.class);
                }
                default -> replay(record);
            }
        }
        syncedIndex = replica.replicatedLog.lastIndex();
        if (!ReplicaIdentity.belongsTo(replica.identity, replica.environment.self())) {
            Replica.LOG.error(
                    "The disk of {} was written by {}: the replica counts as lost.",
                    replica.environment.self(),
                    replica.identity);
            replaceIdentity(() -> {});
        } else if (replica.voter) {
            replica.transitionTo(Role.FOLLOWER, "recovered");
        }
    }

    /** What is stored may be used to catch up, but this replica neither votes nor counts until it is promoted again. */
    void replaceIdentity(Runnable then) {
        replica.identity = ReplicaIdentity.create(replica.environment.random(), replica.environment.self());
        replica.voter = false;
        storeSnapshot(then);
    }

    private void restoreSnapshot(ReplicationMessages.ReplicaSnapshot snapshot) {
        replica.identity = snapshot.identity();
        replica.term = snapshot.term();
        replica.votedFor = snapshot.votedFor();
        replica.voter = snapshot.voter();
        replica.replicatedLog.reset(snapshot.index(), snapshot.indexTerm(), List.of());
        replica.membership.reset(snapshot.members());
        if (snapshot.state().length > 0) {
            replica.stateMachine.restore(snapshot.state());
        }
        replica.commits.resetTo(snapshot.index());
        long i = snapshot.index();
        for (LogEntry item : snapshot.entries()) {
            i++;
            appendInMemory(i, item);
        }
    }

    private void replay(WalRecord record) throws ServiceException {
        replica.replicatedLog.truncateFrom(record.index());
        replica.membership.truncateFrom(record.index());
        if (record.term() > replica.term) {
            // a build that did not note its owners: nobody is known to hold a lease of this term. design 5.3
            replica.term = record.term();
            replica.votedFor = "";
        }
        appendInMemory(record.index(), replica.environment.codec().read(record.bytes(), LogEntry.class));
    }

    private void appendInMemory(long index, LogEntry item) {
        replica.replicatedLog.append(item);
        if (item.kind() == LogEntry.Kind.MEMBERSHIP) {
            replica.membership.onAppended(index, decodeMembers(item));
        }
    }

    Map<String, String> decodeMembers(LogEntry item) {
        try {
            Map<String, String> out = new TreeMap<>();
            replica.environment
                    .codec()
                    .read(item.bytes(), Map.class)
                    .forEach((k, v) -> out.put((String) k, (String) v));
            return out;
        } catch (ServiceException failure) {
            throw new IllegalStateException("unreadable group entry", failure);
        }
    }

    /** Adds to the memory log and to the disk; then runs once synced, unless the entry was cut since. */
    void append(List<LogEntry> items, Runnable then) {
        long first = replica.replicatedLog.lastIndex() + 1;
        List<WalRecord> out = new ArrayList<>();
        for (LogEntry item : items) {
            long index = replica.replicatedLog.lastIndex() + 1;
            appendInMemory(index, item);
            out.add(new WalRecord(
                    replica.partition,
                    WalRecord.Kind.ENTRY,
                    index,
                    item.term(),
                    replica.environment.codec().write(item)));
        }
        long last = replica.replicatedLog.lastIndex();
        long lastTerm = replica.replicatedLog.lastTerm();
        if (last < first) {
            then.run();
            return;
        }
        replica.environment
                .wal()
                .append(
                        out,
                        () -> replica.shard.run(() -> {
                            if (replica.role != Role.STOPPED) {
                                if (replica.replicatedLog.contains(last)
                                        && replica.replicatedLog.termAt(last) == lastTerm) {
                                    syncedIndex = Math.max(syncedIndex, last);
                                }
                                then.run();
                            }
                        }));
    }

    void truncateFrom(long index) {
        replica.replicatedLog.truncateFrom(index);
        replica.membership.truncateFrom(index);
        syncedIndex = Math.min(syncedIndex, index - 1);
    }

    void storeVote(Runnable then) {
        replica.environment
                .wal()
                .append(
                        List.of(new WalRecord(
                                replica.partition,
                                WalRecord.Kind.VOTE,
                                0,
                                replica.term,
                                replica.environment.codec().write(replica.votedFor))),
                        () -> replica.shard.run(() -> {
                            if (replica.role != Role.STOPPED) {
                                then.run();
                            }
                        }));
    }

    ReplicationMessages.ReplicaSnapshot snapshot() {
        long upTo = replica.commits.appliedIndex();
        List<LogEntry> tail = replica.replicatedLog.entries();
        int skip = (int) (upTo - replica.replicatedLog.baseIndex());
        return new ReplicationMessages.ReplicaSnapshot(
                replica.identity,
                replica.term,
                replica.votedFor,
                replica.voter,
                upTo,
                replica.replicatedLog.termAt(upTo),
                replica.membership.committed(),
                replica.stateMachine.snapshot(),
                List.copyOf(tail.subList(skip, tail.size())));
    }

    /** The state up to what is applied, without what only concerns this replica. */
    ReplicationMessages.ReplicaSnapshot snapshotWithoutIdentity() {
        ReplicationMessages.ReplicaSnapshot own = snapshot();
        return new ReplicationMessages.ReplicaSnapshot(
                "", replica.term, "", false, own.index(), own.indexTerm(), own.members(), own.state(), List.of());
    }

    /** The same snapshot as long as the log goes on from it: a follower that is on its way gets no other one. */
    SnapshotContent snapshotForFollowers() {
        SnapshotContent latest = latestSnapshot.get();
        if (latest == null || latest.index() < replica.replicatedLog.baseIndex()) {
            ReplicationMessages.ReplicaSnapshot base = snapshotWithoutIdentity();
            latest = SnapshotContent.of(
                    base.index(), base.indexTerm(), replica.environment.codec().write(base));
            latestSnapshot = new WeakReference<>(latest);
        }
        return latest;
    }

    void storeSnapshot() {
        storeSnapshot(() -> {});
    }

    /** A new base makes every earlier record of the part needless. */
    void storeSnapshot(Runnable then) {
        if (replica.role == Role.STOPPED) {
            return;
        }
        ReplicationMessages.ReplicaSnapshot snapshot = snapshot();
        long keptFrom = replica.replicatedLog.bytes() > KEPT_FOR_FOLLOWERS
                ? snapshot.index()
                : replica.leader.firstIndexNeeded(snapshot.index());
        replica.replicatedLog.compacted(snapshot.index(), keptFrom);
        long last = replica.replicatedLog.lastIndex();
        long lastTerm = replica.replicatedLog.lastTerm();
        replica.environment
                .wal()
                .append(
                        List.of(new WalRecord(
                                replica.partition,
                                WalRecord.Kind.SNAPSHOT,
                                snapshot.index(),
                                snapshot.term(),
                                replica.environment.codec().write(snapshot))),
                        () -> replica.shard.run(() -> {
                            if (replica.role != Role.STOPPED) {
                                if (replica.replicatedLog.contains(last)
                                        && replica.replicatedLog.termAt(last) == lastTerm) {
                                    syncedIndex = Math.max(syncedIndex, last);
                                }
                                then.run();
                            }
                        }));
    }

    /** Replaces all we have by the owner's view. */
    void installSnapshot(ReplicationMessages.ReplicaSnapshot snapshot, Runnable then) {
        replica.replicatedLog.reset(snapshot.index(), snapshot.indexTerm(), List.of());
        replica.membership.reset(snapshot.members());
        replica.stateMachine.restore(snapshot.state());
        replica.commits.resetTo(snapshot.index());
        syncedIndex = Math.min(syncedIndex, snapshot.index());
        storeSnapshot(then);
    }

    void compactIfNeeded() {
        ReplicatedLog log = replica.replicatedLog;
        boolean large = log.bytesAfterCompacted()
                        > Math.min(COMPACTION_BYTES, replica.environment.wal().largestRecordBytes() / 4)
                || log.lastIndex() - log.compactedIndex() > COMPACTION_ENTRIES;
        if (large && replica.commits.appliedIndex() > log.compactedIndex()) {
            storeSnapshot();
        }
    }
}

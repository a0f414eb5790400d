package org.woadvale.common.replication;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.wal.WalRecord;

/**
 * What a replica writes to the write-ahead log: entries, and snapshots that replace every earlier record of the
 * partition. Knows up to which index the log in memory is synced.
 */
final class ReplicaStorage {
    /** Which entries followers still need; the log in memory is kept from there on. */
    interface LogRetention {
        /** The first index that is still needed, or the given one if that is smaller or nothing is needed. */
        long firstIndexNeeded(long otherwise);
    }

    private static final long COMPACTION_BYTES = 4L << 20;
    private static final int COMPACTION_ENTRIES = 8192;
    /** The log since the latest snapshot may take this part of the largest record before a snapshot is due. */
    private static final int COMPACTION_FRACTION = 4;
    /** So many bytes of the log are kept for followers that are catching up from a snapshot. */
    private static final long KEPT_FOR_FOLLOWERS_BYTES = 4L << 20;

    /** What a snapshot has beside the state and the entries after it: members, identity, and what each entry adds. */
    private static final long SNAPSHOT_OVERHEAD_BYTES = 16 << 10;

    /** What the record of an entry has beside the command: type numbers, term, kind and lengths. */
    private static final int ENTRY_OVERHEAD_BYTES = 64;

    private final ReplicaState state;
    private final CommitTracker<?, ?> commits;
    private final StateMachine<?, ?> stateMachine;
    private LogRetention retention = otherwise -> otherwise;
    private long syncedIndex;
    /** Shared by all followers that need one; collected with the last of them. */
    private WeakReference<SnapshotContent> latestSnapshot = new WeakReference<>(null);

    ReplicaStorage(ReplicaState state, CommitTracker<?, ?> commits, StateMachine<?, ?> stateMachine) {
        this.state = state;
        this.commits = commits;
        this.stateMachine = stateMachine;
    }

    void retainLogFor(LogRetention followers) {
        retention = followers;
    }

    /** All entries up to this index are on disk. */
    long syncedIndex() {
        return syncedIndex;
    }

    /** All that is in memory was read from disk. */
    void onRecovered() {
        syncedIndex = state.log().lastIndex();
    }

    /** Whether an entry of so many bytes could never be stored by any replica, not even alone in its record. */
    boolean isTooLarge(int entryBytes) {
        int largest = state.environment().wal().largestRecordBytes();
        return largest > 0 && entryBytes + ENTRY_OVERHEAD_BYTES > largest;
    }

    /** Adds to the log in memory and on disk; the task runs once the entries are synced. */
    void append(List<LogEntry> entries, Runnable onSynced) {
        if (entries.isEmpty()) {
            onSynced.run();
            return;
        }
        List<WalRecord> records = new ArrayList<>();
        for (LogEntry entry : entries) {
            state.appendInMemory(entry);
            records.add(new WalRecord(
                    state.partition(),
                    WalRecord.Kind.ENTRY,
                    state.log().lastIndex(),
                    entry.term(),
                    state.environment().codec().write(entry)));
        }
        write(records, onSynced);
    }

    /** An entry that was replaced before its sync ended is not counted as synced. */
    private void write(List<WalRecord> records, Runnable onSynced) {
        ReplicatedLog log = state.log();
        long last = log.lastIndex();
        long lastTerm = log.lastTerm();
        state.environment()
                .wal()
                .append(
                        records,
                        () -> state.shard().run(() -> {
                            if (state.isStopped()) {
                                return;
                            }
                            if (log.contains(last) && log.termAt(last) == lastTerm) {
                                syncedIndex = Math.max(syncedIndex, last);
                            }
                            onSynced.run();
                        }));
    }

    void truncateFrom(long index) {
        state.truncateInMemory(index);
        syncedIndex = Math.min(syncedIndex, index - 1);
    }

    /** What is stored may be used to catch up, but this replica neither votes nor counts until it is promoted again. */
    void replaceIdentity(Runnable onSynced) {
        String identity = ReplicaIdentity.create(state.environment().random(), state.self());
        state.setIdentity(identity, false);
        storeSnapshot(onSynced);
    }

    void storeSnapshot() {
        storeSnapshot(() -> {});
    }

    /** Writes a snapshot of what is applied with the entries after it; the task runs once it is synced. */
    void storeSnapshot(Runnable onSynced) {
        if (state.isStopped()) {
            return;
        }
        ReplicationMessages.ReplicaSnapshot snapshot = snapshot();
        long index = snapshot.index();
        boolean manyBytes = state.log().bytes() > KEPT_FOR_FOLLOWERS_BYTES;
        state.log().onCompacted(index, manyBytes ? index : retention.firstIndexNeeded(index));
        WalRecord record = new WalRecord(
                state.partition(),
                WalRecord.Kind.SNAPSHOT,
                index,
                snapshot.term(),
                state.environment().codec().write(snapshot));
        write(List.of(record), onSynced);
    }

    /** Replaces all that this replica has by a leader's snapshot; the task runs once it is synced. */
    void installSnapshot(ReplicationMessages.ReplicaSnapshot snapshot, Runnable onSynced) {
        state.log().reset(snapshot.index(), snapshot.indexTerm(), List.of());
        state.membership().reset(snapshot.members());
        stateMachine.restore(snapshot.state());
        commits.resetTo(snapshot.index());
        syncedIndex = Math.min(syncedIndex, snapshot.index());
        storeSnapshot(onSynced);
    }

    /** Tells the write-ahead log how much room the next snapshot takes, if that is known. */
    void announceSnapshotBytes() {
        stateMachine
                .snapshotBytes()
                .ifPresent(bytes -> state.environment()
                        .wal()
                        .expectSnapshotBytes(
                                state.partition(), SNAPSHOT_OVERHEAD_BYTES + bytes + commits.unappliedBytes()));
    }

    /** Writes a snapshot if the log since the latest one has grown large. */
    void compactIfNeeded() {
        ReplicatedLog log = state.log();
        long limit = Math.min(COMPACTION_BYTES, state.environment().wal().largestRecordBytes() / COMPACTION_FRACTION);
        boolean large =
                log.bytesAfterCompacted() > limit || log.lastIndex() - log.compactedIndex() > COMPACTION_ENTRIES;
        if (large && commits.appliedIndex() > log.compactedIndex()) {
            storeSnapshot();
        }
    }

    private ReplicationMessages.ReplicaSnapshot snapshot() {
        long index = commits.appliedIndex();
        List<LogEntry> entries = state.log().entries();
        int applied = (int) (index - state.log().baseIndex());
        return new ReplicationMessages.ReplicaSnapshot(
                state.identity(),
                state.term(),
                state.votedFor(),
                state.isVoter(),
                index,
                state.log().termAt(index),
                state.membership().committed(),
                stateMachine.snapshot(),
                List.copyOf(entries.subList(applied, entries.size())),
                bootstrapBytes());
    }

    private byte[] bootstrapBytes() {
        BootstrapState bootstrap = state.bootstrap();
        return bootstrap.equals(BootstrapState.EMPTY)
                ? new byte[0]
                : state.environment().codec().write(bootstrap);
    }

    /** The state up to what is applied, without what only concerns this replica. */
    ReplicationMessages.ReplicaSnapshot snapshotWithoutIdentity() {
        ReplicationMessages.ReplicaSnapshot own = snapshot();
        return new ReplicationMessages.ReplicaSnapshot(
                "",
                own.term(),
                "",
                false,
                own.index(),
                own.indexTerm(),
                own.members(),
                own.state(),
                List.of(),
                new byte[0]);
    }

    /** The same snapshot as long as the log goes on from it: a follower that is catching up gets no other one. */
    SnapshotContent snapshotForFollowers() {
        SnapshotContent latest = latestSnapshot.get();
        if (latest == null || latest.index() < state.log().baseIndex()) {
            ReplicationMessages.ReplicaSnapshot snapshot = snapshotWithoutIdentity();
            byte[] bytes = state.environment().codec().write(snapshot);
            latest = SnapshotContent.of(snapshot.index(), snapshot.indexTerm(), bytes);
            latestSnapshot = new WeakReference<>(latest);
        }
        return latest;
    }
}

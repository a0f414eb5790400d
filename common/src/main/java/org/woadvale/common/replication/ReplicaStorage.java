package org.woadvale.common.replication;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.wal.WalRecord;

/**
 * Writes a replica's entries and snapshots to the write-ahead log; a snapshot replaces every earlier record of the
 * partition. Tracks the index up to which the in-memory log is synced.
 */
final class ReplicaStorage {
    /** Decides which entries followers still need; the in-memory log keeps the entries from there on. */
    interface LogRetention {
        /** Returns the first index still needed, or the default if that is lower or nothing is needed. */
        long firstIndexNeeded(long defaultIndex);
    }

    private static final long COMPACTION_BYTES = 4L << 20;
    private static final int COMPACTION_ENTRIES = 8192;
    /** A snapshot is due once the log since the latest one exceeds the largest record size divided by this. */
    private static final int COMPACTION_FRACTION = 4;
    /**
     * If the log is larger than this, a snapshot drops all entries that it covers, even if a follower that is catching
     * up needs them.
     */
    private static final long MAX_RETAINED_LOG_BYTES = 4L << 20;

    /** Bytes of a snapshot besides the state and the entries after it: members, identity and per-entry overhead. */
    private static final long SNAPSHOT_OVERHEAD_BYTES = 16 << 10;

    /** Bytes of an entry's record besides the command: type numbers, term, kind and lengths. */
    private static final int ENTRY_OVERHEAD_BYTES = 64;

    private final ReplicaState state;
    private final CommitTracker<?, ?> commits;
    private final StateMachine<?, ?> stateMachine;
    private LogRetention retention = defaultIndex -> defaultIndex;
    private long syncedIndex;
    /** Shared by all followers that need it, and garbage-collected after the last of them is done with it. */
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

    /** Marks the in-memory log as synced, because it was read from disk. */
    void onRecovered() {
        syncedIndex = state.log().lastIndex();
    }

    /** Whether an entry of this size exceeds the largest record, so that no replica could ever store it. */
    boolean isTooLarge(int entryBytes) {
        int largest = state.environment().wal().largestRecordBytes();
        return largest > 0 && entryBytes + ENTRY_OVERHEAD_BYTES > largest;
    }

    /** Appends entries to the log in memory and on disk; the task runs once they are synced. */
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

    /** An entry that was replaced before its sync completed is not counted as synced. */
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

    /**
     * Takes a new identity. The stored data still helps to catch up, but this replica neither votes nor counts until it
     * is promoted again.
     */
    void replaceIdentity(Runnable onSynced) {
        String identity = ReplicaIdentity.create(state.environment().random(), state.self());
        state.setIdentity(identity, false);
        storeSnapshot(onSynced);
    }

    void storeSnapshot() {
        storeSnapshot(() -> {});
    }

    /** Writes a snapshot of the applied state and the entries after it; the task runs once it is synced. */
    void storeSnapshot(Runnable onSynced) {
        if (state.isStopped()) {
            return;
        }
        ReplicationMessages.ReplicaSnapshot snapshot = snapshot();
        long index = snapshot.index();
        boolean exceedsRetention = state.log().bytes() > MAX_RETAINED_LOG_BYTES;
        state.log().onCompacted(index, exceedsRetention ? index : retention.firstIndexNeeded(index));
        WalRecord record = new WalRecord(
                state.partition(),
                WalRecord.Kind.SNAPSHOT,
                index,
                snapshot.term(),
                state.environment().codec().write(snapshot));
        write(List.of(record), onSynced);
    }

    /** Replaces the entire state of this replica with a leader's snapshot; the task runs once it is synced. */
    void installSnapshot(ReplicationMessages.ReplicaSnapshot snapshot, Runnable onSynced) {
        state.log().reset(snapshot.index(), snapshot.indexTerm(), List.of());
        state.membership().reset(snapshot.members());
        stateMachine.restore(snapshot.state());
        commits.resetTo(snapshot.index());
        syncedIndex = Math.min(syncedIndex, snapshot.index());
        storeSnapshot(onSynced);
    }

    /** Reports the expected size of the next snapshot to the write-ahead log, if it is known. */
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
        boolean due = log.bytesAfterCompacted() > limit || log.lastIndex() - log.compactedIndex() > COMPACTION_ENTRIES;
        if (due && commits.appliedIndex() > log.compactedIndex()) {
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

    /** A snapshot of the applied state without the fields that concern only this replica. */
    ReplicationMessages.ReplicaSnapshot snapshotWithoutIdentity() {
        ReplicationMessages.ReplicaSnapshot local = snapshot();
        return new ReplicationMessages.ReplicaSnapshot(
                "",
                local.term(),
                "",
                false,
                local.index(),
                local.indexTerm(),
                local.members(),
                local.state(),
                List.of(),
                new byte[0]);
    }

    /**
     * Returns the same snapshot as long as the log continues from it, so that a follower that is catching up is not
     * switched to another one.
     */
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

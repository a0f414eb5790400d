package org.woadvale.testkit.explore;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.LogEntry;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.wal.WalRecord;

/** Records which log entries have ever been synced, and under which replica identity. */
final class DurableRecords {
    private record SyncedEntry(String identity, long index, long term) {}

    private final Codec codec;
    private final Set<SyncedEntry> syncedEntries = new HashSet<>();
    /** Per identity: the highest index that a synced snapshot covers. */
    private final Map<String, Long> snapshotIndexes = new HashMap<>();

    private final Map<String, WalRecord> latestSnapshots = new HashMap<>();
    private final Map<String, String> identities = new HashMap<>();
    private final Map<String, Integer> observedRecords = new HashMap<>();

    DurableRecords(Codec codec) {
        this.codec = codec;
    }

    void observe(ModelNode node) {
        List<WalRecord> records = node.disk().durable();
        if (records.isEmpty()) {
            observedRecords.put(node.name(), 0);
            return;
        }
        WalRecord first = records.get(0);
        if (first.kind() == WalRecord.Kind.SNAPSHOT && latestSnapshots.get(node.name()) != first) {
            observeSnapshot(node.name(), first);
        }
        for (int i = observedRecords.getOrDefault(node.name(), 0); i < records.size(); i++) {
            WalRecord walRecord = records.get(i);
            if (walRecord.kind() == WalRecord.Kind.ENTRY) {
                syncedEntries.add(
                        new SyncedEntry(identities.getOrDefault(node.name(), ""), walRecord.index(), walRecord.term()));
            }
        }
        observedRecords.put(node.name(), records.size());
    }

    private void observeSnapshot(String node, WalRecord walRecord) {
        ReplicationMessages.ReplicaSnapshot snapshot = decode(walRecord);
        latestSnapshots.put(node, walRecord);
        identities.put(node, snapshot.identity());
        observedRecords.put(node, 1);
        snapshotIndexes.merge(snapshot.identity(), snapshot.index(), Math::max);
        long index = snapshot.index();
        for (LogEntry entry : snapshot.entries()) {
            index++;
            syncedEntries.add(new SyncedEntry(snapshot.identity(), index, entry.term()));
        }
    }

    private ReplicationMessages.ReplicaSnapshot decode(WalRecord walRecord) {
        try {
            return codec.read(walRecord.bytes(), ReplicationMessages.ReplicaSnapshot.class);
        } catch (ServiceException failure) {
            throw new IllegalStateException("cannot decode replica snapshot", failure);
        }
    }

    boolean isDurable(String identity, long index, long term) {
        return snapshotIndexes.getOrDefault(identity, 0L) >= index
                || syncedEntries.contains(new SyncedEntry(identity, index, term));
    }
}

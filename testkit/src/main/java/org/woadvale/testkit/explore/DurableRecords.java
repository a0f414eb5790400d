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

/** Which entries have ever been synced, and under which identity. */
final class DurableRecords {
    private record Mark(String identity, long index, long term) {}

    private final Codec codec;
    private final Set<Mark> marks = new HashSet<>();
    /** By identity: everything up to this index lies in a synced snapshot. */
    private final Map<String, Long> snapshots = new HashMap<>();

    private final Map<String, WalRecord> bases = new HashMap<>();
    private final Map<String, String> identities = new HashMap<>();
    private final Map<String, Integer> seen = new HashMap<>();

    DurableRecords(Codec codec) {
        this.codec = codec;
    }

    void observe(ModelNode node) {
        List<WalRecord> records = node.disk().durable();
        if (records.isEmpty()) {
            seen.put(node.name(), 0);
            return;
        }
        WalRecord base = records.get(0);
        if (base.kind() == WalRecord.Kind.SNAPSHOT && bases.get(node.name()) != base) {
            observeBase(node.name(), base);
        }
        for (int i = seen.getOrDefault(node.name(), 0); i < records.size(); i++) {
            WalRecord entry = records.get(i);
            if (entry.kind() == WalRecord.Kind.ENTRY) {
                marks.add(new Mark(identities.getOrDefault(node.name(), ""), entry.index(), entry.term()));
            }
        }
        seen.put(node.name(), records.size());
    }

    private void observeBase(String node, WalRecord entry) {
        ReplicationMessages.ReplicaSnapshot base = decode(entry);
        bases.put(node, entry);
        identities.put(node, base.identity());
        seen.put(node, 1);
        snapshots.merge(base.identity(), base.index(), Math::max);
        long index = base.index();
        for (LogEntry item : base.entries()) {
            index++;
            marks.add(new Mark(base.identity(), index, item.term()));
        }
    }

    private ReplicationMessages.ReplicaSnapshot decode(WalRecord entry) {
        try {
            return codec.read(entry.bytes(), ReplicationMessages.ReplicaSnapshot.class);
        } catch (ServiceException failure) {
            throw new IllegalStateException("unreadable base", failure);
        }
    }

    boolean held(String identity, long index, long term) {
        return snapshots.getOrDefault(identity, 0L) >= index || marks.contains(new Mark(identity, index, term));
    }
}

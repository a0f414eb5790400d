package org.woadvale.common.replication;

import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.wal.WalRecord;

/** Converts records that an older build wrote to the write-ahead log to the current format. */
final class LegacyFormat {
    /** The format of records without the count of their components. */
    private static final int FIRST_FORMAT = 1;

    private LegacyFormat() {}

    static WalRecord upgrade(WalRecord record, Codec codec) throws ServiceException {
        if (record.format() > FIRST_FORMAT) {
            return record;
        }
        Object value = codec.readFirstFormat(record.bytes(), Object.class);
        if (value instanceof LogEntry logEntry) {
            value = upgrade(logEntry, codec);
        } else if (value instanceof ReplicationMessages.ReplicaSnapshot snapshot) {
            List<LogEntry> tail = new ArrayList<>();
            for (LogEntry entry : snapshot.entries()) {
                tail.add(upgrade(entry, codec));
            }
            value = new ReplicationMessages.ReplicaSnapshot(
                    snapshot.identity(),
                    snapshot.term(),
                    snapshot.votedFor(),
                    snapshot.voter(),
                    snapshot.index(),
                    snapshot.indexTerm(),
                    snapshot.members(),
                    codec.upgrade(snapshot.state()),
                    tail,
                    new byte[0]);
        }
        return new WalRecord(record.partition(), record.kind(), record.index(), record.term(), codec.write(value));
    }

    private static LogEntry upgrade(LogEntry entry, Codec codec) throws ServiceException {
        return new LogEntry(entry.term(), entry.kind(), codec.upgrade(entry.bytes()));
    }
}

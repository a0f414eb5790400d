package org.woadvale.common.replication;

import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.wal.WalRecord;

/** What an older build wrote into the ring, in the present format. design 3.4 */
final class LegacyFormat {
    /** Records without the count of their components. */
    private static final int FIRST_FORMAT = 1;

    private LegacyFormat() {}

    static WalRecord upgraded(WalRecord e, Codec c) throws ServiceException {
        if (e.format() > FIRST_FORMAT) {
            return e;
        }
        Object o = c.readFirst(e.bytes(), Object.class);
        if (o instanceof LogEntry i) {
            o = upgraded(i, c);
        } else if (o instanceof ReplicationMessages.ReplicaSnapshot b) {
            List<LogEntry> tail = new ArrayList<>();
            for (LogEntry i : b.entries()) {
                tail.add(upgraded(i, c));
            }
            o = new ReplicationMessages.ReplicaSnapshot(
                    b.identity(),
                    b.term(),
                    b.votedFor(),
                    b.voter(),
                    b.index(),
                    b.indexTerm(),
                    b.members(),
                    c.upgrade(b.state()),
                    tail);
        }
        return new WalRecord(e.partition(), e.kind(), e.index(), e.term(), c.write(o));
    }

    private static LogEntry upgraded(LogEntry i, Codec c) throws ServiceException {
        return new LogEntry(i.term(), i.kind(), c.upgrade(i.bytes()));
    }
}

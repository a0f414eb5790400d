package org.woadvale.common.replication;

import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.wal.Entry;

/** What an older build wrote into the ring, in the present format. design 3.4 */
final class LegacyFormat {
    /** Records without the count of their components. */
    private static final int FIRST = 1;

    private LegacyFormat() {}

    static Entry lifted(Entry e, Codec c) throws ServiceException {
        if (e.format() > FIRST) {
            return e;
        }
        Object o = c.readFirst(e.bytes(), Object.class);
        if (o instanceof LogEntry i) {
            o = lifted(i, c);
        } else if (o instanceof Messages.Base b) {
            List<LogEntry> tail = new ArrayList<>();
            for (LogEntry i : b.tail()) {
                tail.add(lifted(i, c));
            }
            o = new Messages.Base(
                    b.identity(),
                    b.term(),
                    b.votedFor(),
                    b.voter(),
                    b.index(),
                    b.indexTerm(),
                    b.group(),
                    c.lift(b.machine()),
                    tail);
        }
        return new Entry(e.part(), e.kind(), e.index(), e.term(), c.write(o));
    }

    private static LogEntry lifted(LogEntry i, Codec c) throws ServiceException {
        return new LogEntry(i.term(), i.kind(), c.lift(i.bytes()));
    }
}

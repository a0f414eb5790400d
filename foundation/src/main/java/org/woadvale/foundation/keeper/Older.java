package org.woadvale.foundation.keeper;

import java.util.ArrayList;
import java.util.List;

import org.woadvale.foundation.beam.Codec;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.foundation.logbook.Entry;

/** What an older build wrote into the ring, in the present format. design 3.4 */
final class Older {
    /** Records without the count of their components. */
    private static final int FIRST = 1;

    private Older() { }

    static Entry lifted(Entry e, Codec c) throws Fault {
        if (e.format() > FIRST) {
            return e;
        }
        Object o = c.readFirst(e.bytes(), Object.class);
        if (o instanceof LogItem i) {
            o = lifted(i, c);
        } else if (o instanceof Messages.Base b) {
            List<LogItem> tail = new ArrayList<>();
            for (LogItem i : b.tail()) {
                tail.add(lifted(i, c));
            }
            o = new Messages.Base(b.identity(), b.term(), b.votedFor(), b.sworn(), b.index(), b.indexTerm(), b.group(),
                c.lift(b.machine()), tail);
        }
        return new Entry(e.part(), e.kind(), e.index(), e.term(), c.write(o));
    }

    private static LogItem lifted(LogItem i, Codec c) throws Fault {
        return new LogItem(i.term(), i.kind(), c.lift(i.bytes()));
    }
}

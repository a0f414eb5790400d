package org.woadvale.common.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ReplicatedLogTest {
    private static final int ENTRY_BYTES = 100;

    private final ReplicatedLog log = new ReplicatedLog();

    private static LogEntry entry(long term) {
        return new LogEntry(term, LogEntry.Kind.COMMAND, new byte[ENTRY_BYTES]);
    }

    private void append(int count, long term) {
        for (int i = 0; i < count; i++) {
            log.append(entry(term));
        }
    }

    @Test
    void truncatedEntriesAreRemovedAndNotCounted() {
        append(5, 1);
        log.truncateFrom(3);
        assertEquals(2, log.lastIndex());
        assertEquals(2 * ENTRY_BYTES, log.bytes());
        assertFalse(log.contains(3));
    }

    @Test
    void compactionRetainsEntriesThatFollowersNeed() {
        append(5, 1);
        append(1, 2);
        log.onCompacted(4, 2);
        assertEquals(2, log.baseIndex());
        assertEquals(4, log.compactedIndex());
        assertEquals(2 * ENTRY_BYTES, log.bytesAfterCompacted());
        assertEquals(1, log.termAt(2));
        assertEquals(2, log.lastTerm());
    }

    @Test
    void batchHasAtLeastOneEntryAndStopsAtTheSizeLimit() {
        append(5, 1);
        assertEquals(1, log.entriesAfter(0, 1).size());
        assertEquals(2, log.entriesAfter(3, 1 << 20).size());
        assertEquals(List.of(), log.entriesAfter(5, 1 << 20));
    }

    @Test
    void resetLogContinuesFromItsIndex() {
        append(5, 1);
        log.reset(40, 7, List.of(entry(8)));
        assertEquals(41, log.lastIndex());
        assertEquals(7, log.termAt(40));
        assertTrue(log.contains(41));
        assertFalse(log.contains(5));
    }
}

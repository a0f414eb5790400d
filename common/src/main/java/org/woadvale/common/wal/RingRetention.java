package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which segments of the ring are still needed, and which parts were asked for a new snapshot to free them. */
final class RingRetention {
    /** So many segments later a part is asked again. */
    private static final long ASK_AGAIN = 1;

    /** Segment of the oldest record still needed by each part. */
    private final Map<String, Long> oldestByPart;
    /** In which segment a part was asked for a snapshot that has not been written yet. */
    private final Map<String, Long> askedAt;

    RingRetention(Map<String, Long> oldestByPart) {
        this(oldestByPart, Map.of());
    }

    private RingRetention(Map<String, Long> oldestByPart, Map<String, Long> askedAt) {
        this.oldestByPart = new HashMap<>(oldestByPart);
        this.askedAt = new HashMap<>(askedAt);
    }

    RingRetention copy() {
        return new RingRetention(oldestByPart, askedAt);
    }

    void written(Entry entry, long segment) {
        if (entry.kind() == Entry.Kind.BASE) {
            oldestByPart.put(entry.part(), segment);
            askedAt.remove(entry.part());
        } else {
            oldestByPart.putIfAbsent(entry.part(), segment);
        }
    }

    /** The oldest segment that is needed; the given one, which is being written, if no other is. */
    long oldest(long segment) {
        return oldestByPart.values().stream().mapToLong(Long::longValue).min().orElse(segment);
    }

    /** Parts that hold back the oldest segments and have no snapshot under way: another would only fill the ring. */
    List<String> partsToAsk(long segment) {
        long oldest = oldest(segment);
        List<String> holding = new ArrayList<>();
        oldestByPart.forEach((part, since) -> {
            boolean underWay = segment <= askedAt.getOrDefault(part, -ASK_AGAIN) + ASK_AGAIN;
            if (since <= oldest + 1 && !underWay) {
                holding.add(part);
            }
        });
        holding.forEach(part -> askedAt.put(part, segment));
        return holding;
    }
}

package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Links of few bytes a second: what is sent queues up and arrives late, in its order. */
final class SlowLinks {
    private static final long NANOS = 1_000_000_000L;
    private final Map<String, Long> bytesPerSecond = new HashMap<>();
    private final Map<String, Duration> busyUntil = new HashMap<>();

    void slow(String from, String to, long rate) {
        bytesPerSecond.put(from + ">" + to, rate);
    }

    /** How long the frame takes from now on, with what was sent before it. */
    Duration queue(String from, String to, int bytes, Duration now) {
        String link = from + ">" + to;
        if (!bytesPerSecond.containsKey(link)) {
            return Duration.ZERO;
        }
        Duration free = busyUntil.getOrDefault(link, now);
        Duration begins = free.compareTo(now) > 0 ? free : now;
        Duration ends = begins.plusNanos(bytes * NANOS / bytesPerSecond.get(link));
        busyUntil.put(link, ends);
        return ends.minus(now);
    }
}

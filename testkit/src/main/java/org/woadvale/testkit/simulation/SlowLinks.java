package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Links with limited throughput: frames queue up and arrive late, in order. */
final class SlowLinks {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private final Map<String, Long> bytesPerSecond = new HashMap<>();
    private final Map<String, Duration> busyUntil = new HashMap<>();

    void limit(String from, String to, long rate) {
        bytesPerSecond.put(from + ">" + to, rate);
    }

    /** Queues a frame; returns the time until it is transmitted, including the frames before it. */
    Duration enqueue(String from, String to, int bytes, Duration now) {
        String link = from + ">" + to;
        if (!bytesPerSecond.containsKey(link)) {
            return Duration.ZERO;
        }
        Duration idleFrom = busyUntil.getOrDefault(link, now);
        Duration start = idleFrom.compareTo(now) > 0 ? idleFrom : now;
        Duration end = start.plusNanos(bytes * NANOS_PER_SECOND / bytesPerSecond.get(link));
        busyUntil.put(link, end);
        return end.minus(now);
    }
}

package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BooleanSupplier;

/** A discrete-event simulator: the simulated clock and its pending events (docs/design.md, section 12.1). */
public final class Simulator {
    private record Event(Duration at, long seq, Runnable task) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::seq));
    private final Random random;
    private Duration now = Duration.ofSeconds(1000);
    private long seq;
    private long executedEvents;
    private final TraceDigest trace = new TraceDigest();

    public Simulator(long seed) {
        random = new Random(seed);
    }

    public Duration now() {
        return now;
    }

    /** The digest of what the simulated machines have done so far. */
    public TraceDigest trace() {
        return trace;
    }

    public Random random() {
        return random;
    }

    public boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    /** A uniformly distributed random time between two bounds. */
    public Duration between(long fromMicros, long toMicros) {
        return Duration.ofNanos((fromMicros + (long) (random.nextDouble() * (toMicros - fromMicros))) * 1000);
    }

    public void at(Duration time, Runnable task) {
        events.add(new Event(time.compareTo(now) < 0 ? now : time, seq++, task));
    }

    public void after(Duration delay, Runnable task) {
        at(now.plus(delay), task);
    }

    /** Runs all events that are due within the given time. */
    public void run(Duration length) {
        Duration end = now.plus(length);
        while (!events.isEmpty() && events.peek().at().compareTo(end) <= 0) {
            Event event = events.poll();
            now = event.at();
            executedEvents++;
            event.task().run();
        }
        now = end;
    }

    /** Runs until the condition holds, which is checked every 100 ms; false if it does not within the limit. */
    public boolean runUntil(BooleanSupplier condition, Duration limit) {
        Duration end = now.plus(limit);
        while (!condition.getAsBoolean()) {
            if (now.compareTo(end) >= 0) {
                return false;
            }
            run(Duration.ofMillis(100));
        }
        return true;
    }

    public long executedEvents() {
        return executedEvents;
    }
}

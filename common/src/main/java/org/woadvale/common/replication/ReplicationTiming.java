package org.woadvale.common.replication;

import java.time.Duration;

/** The times of the engine; one set for the whole fleet. */
public record ReplicationTiming(
        Duration lease, Duration heartbeat, Duration tick, Duration requestTimeout, Duration electionJitter) {
    public static ReplicationTiming defaults() {
        return new ReplicationTiming(
                Duration.ofMillis(2000),
                Duration.ofMillis(500),
                Duration.ofMillis(50),
                Duration.ofMillis(700),
                Duration.ofMillis(300));
    }

    /**
     * For parts. Control parts: the next owner must confirm subscriptions before the views in the fleet are too old to use.
     * Message parts: what is ordered waits for the next owner. design 5.3
     */
    public static ReplicationTiming partitions() {
        return new ReplicationTiming(
                Duration.ofMillis(1200),
                Duration.ofMillis(300),
                Duration.ofMillis(50),
                Duration.ofMillis(500),
                Duration.ofMillis(200));
    }

    /** The owner stops a little before the voters do, for clocks that do not run alike. */
    public Duration leaderLease() {
        return lease.minus(lease.dividedBy(20));
    }
}

package org.woadvale.common.replication;

import java.time.Duration;

/**
 * The times of the engine; one set for all nodes of a fleet.
 *
 * @param lease how long voters elect no other leader after a heartbeat
 * @param heartbeat between two heartbeats to a follower
 * @param tick between two checks of what is due
 * @param requestTimeout for one request to another replica
 * @param electionJitter within which replicas start an election at different times
 */
public record ReplicationTiming(
        Duration lease, Duration heartbeat, Duration tick, Duration requestTimeout, Duration electionJitter) {
    /** The leader's lease is shorter by this fraction, for clocks that do not run alike. */
    private static final int CLOCK_DRIFT_FRACTION = 20;

    private static final ReplicationTiming DEFAULTS = ofMillis(2000, 500, 50, 700, 300);
    private static final ReplicationTiming PARTITIONS = ofMillis(1200, 300, 50, 500, 200);

    private static ReplicationTiming ofMillis(
            long lease, long heartbeat, long tick, long requestTimeout, long electionJitter) {
        return new ReplicationTiming(
                Duration.ofMillis(lease),
                Duration.ofMillis(heartbeat),
                Duration.ofMillis(tick),
                Duration.ofMillis(requestTimeout),
                Duration.ofMillis(electionJitter));
    }

    /** For nodes whose time-outs have no haste. */
    public static ReplicationTiming defaults() {
        return DEFAULTS;
    }

    /**
     * For partitions on control nodes and stores. Control partitions: the next leader must confirm subscriptions before
     * the views in the fleet are too old to use. Message partitions: what is ordered waits for the next leader.
     */
    public static ReplicationTiming partitions() {
        return PARTITIONS;
    }

    /** How long the leader itself relies on its lease: a little less than the voters do. */
    public Duration leaderLease() {
        return lease.minus(lease.dividedBy(CLOCK_DRIFT_FRACTION));
    }
}

package org.woadvale.common.replication;

import java.time.Duration;

/**
 * The timeouts and intervals of the replication engine, the same on all nodes of a fleet.
 *
 * @param lease how long after a heartbeat the voters elect no other leader
 * @param heartbeat the interval between two heartbeats to a follower
 * @param tick the interval between two checks for due work
 * @param requestTimeout the timeout of one request to another replica
 * @param electionJitter the range over which replicas spread the start of an election
 */
public record ReplicationTiming(
        Duration lease, Duration heartbeat, Duration tick, Duration requestTimeout, Duration electionJitter) {
    /** The leader's lease is shorter by this fraction, to allow for clock drift between nodes. */
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

    /** The default timing, for nodes whose timeouts are not urgent. */
    public static ReplicationTiming defaults() {
        return DEFAULTS;
    }

    /**
     * The timing of partitions on control nodes and stores, where failover is urgent. Control partitions: the next
     * leader must confirm subscriptions before the views in the fleet are too old to use. Message partitions: ordered
     * messages wait for the next leader.
     */
    public static ReplicationTiming partitions() {
        return PARTITIONS;
    }

    /** How long the leader itself relies on its lease: a little less than the voters do. */
    public Duration leaderLease() {
        return lease.minus(lease.dividedBy(CLOCK_DRIFT_FRACTION));
    }
}

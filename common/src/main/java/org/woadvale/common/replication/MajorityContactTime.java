package org.woadvale.common.replication;

import java.time.Duration;

/** When a replica was last in contact with a majority, as far as it can know without asking. */
final class MajorityContactTime {
    private MajorityContactTime() {}

    /**
     * By the local monotonic clock: on a leader, when the latest renewal was sent that a majority has confirmed; on
     * others, when a leader was heard. Must run inside the replica's shard.
     */
    static Duration of(Replica replica) {
        return replica.role == Role.LEADER
                ? replica.leader.leaseEnd().minus(replica.environment.timing().leaderLease())
                : replica.leaderLeaseUntil.minus(replica.environment.timing().lease());
    }
}

package org.woadvale.controlplane.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.runtime.LockedShard;

/**
 * The times of the last renewals of a partition's leases, kept in memory by the partition's leader. A new leader has
 * received no renewals yet, so every lease starts a full period when it takes over.
 */
final class Heartbeats {
    private static final Duration LEASE = ReplicationTiming.defaults().lease();

    private final Replica<ControlCommand, ControlResult> replica;
    private final NodeEnvironment environment;
    private final LockedShard shard = new LockedShard();
    private final Map<String, Duration> lastRenewals = new HashMap<>();
    /** For each lease that is being reassigned, the term of its previous owner. */
    private final Map<String, Long> reassignedTerms = new HashMap<>();

    private Duration leaderSince = Duration.ZERO;
    private long leaderTerm;

    Heartbeats(Replica<ControlCommand, ControlResult> replica, NodeEnvironment environment) {
        this.replica = replica;
        this.environment = environment;
    }

    /** Records a renewal of the lease at the current time. */
    void recordRenewal(String lease) {
        shard.run(() -> {
            resetOnNewTerm();
            lastRenewals.put(lease, now());
        });
    }

    /** Whether the lease has expired, as far as this leader knows. */
    boolean isExpired(String lease) {
        return shard.get(() -> {
            resetOnNewTerm();
            Duration lastRenewal = lastRenewals.getOrDefault(lease, leaderSince);
            return now().minus(lastRenewal).compareTo(LEASE) > 0;
        });
    }

    /** Marks the lease as being reassigned, so that later renewals in the given term are rejected. */
    void markReassigned(String lease, long term) {
        shard.run(() -> reassignedTerms.put(lease, term));
    }

    boolean isReassigned(String lease, long term) {
        return shard.get(() -> reassignedTerms.getOrDefault(lease, 0L) == term);
    }

    private void resetOnNewTerm() {
        long term = replica.term();
        if (term != leaderTerm) {
            leaderTerm = term;
            leaderSince = now();
            lastRenewals.clear();
            reassignedTerms.clear();
        }
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }
}

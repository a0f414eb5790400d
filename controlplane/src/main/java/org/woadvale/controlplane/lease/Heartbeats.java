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
 * When the owners of a partition's leases were last heard, in the memory of the partition's leader. A new leader heard
 * nobody yet, and so lets every lease run anew.
 */
final class Heartbeats {
    private static final Duration LEASE = ReplicationTiming.defaults().lease();

    private final Replica<ControlCommand, ControlResult> replica;
    private final NodeEnvironment environment;
    private final LockedShard shard = new LockedShard();
    private final Map<String, Duration> lastHeard = new HashMap<>();
    /** For each lease that is being given to the next owner, the term of the one before. */
    private final Map<String, Long> termsGivenAway = new HashMap<>();

    private Duration leaderSince = Duration.ZERO;
    private long leaderTerm;

    Heartbeats(Replica<ControlCommand, ControlResult> replica, NodeEnvironment environment) {
        this.replica = replica;
        this.environment = environment;
    }

    /** The owner of a lease was heard just now. */
    void note(String lease) {
        shard.run(() -> {
            forgetFormerTerms();
            lastHeard.put(lease, now());
        });
    }

    /** Whether the lease has run out, as far as this leader can tell. */
    boolean isExpired(String lease) {
        return shard.get(() -> {
            forgetFormerTerms();
            Duration last = lastHeard.getOrDefault(lease, leaderSince);
            return now().minus(last).compareTo(LEASE) > 0;
        });
    }

    /** A renewal in this term of the lease that comes from now on is too late. */
    void giveAway(String lease, long term) {
        shard.run(() -> termsGivenAway.put(lease, term));
    }

    boolean isGivenAway(String lease, long term) {
        return shard.get(() -> termsGivenAway.getOrDefault(lease, 0L) == term);
    }

    private void forgetFormerTerms() {
        long term = replica.term();
        if (term != leaderTerm) {
            leaderTerm = term;
            leaderSince = now();
            lastHeard.clear();
            termsGivenAway.clear();
        }
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }
}

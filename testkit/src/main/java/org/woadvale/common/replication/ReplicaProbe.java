package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Read access to the state of a replica for model checking. It lies in the engine's package, outside shipped code. */
public final class ReplicaProbe {
    /** A copy of the replica's state that is safe to keep; {@code log} begins after {@code baseIndex}. */
    public record ReplicaState(
            Role phase,
            long term,
            String identity,
            boolean voter,
            boolean acting,
            long commit,
            long applied,
            long baseIndex,
            List<LogEntry> log,
            Map<String, String> group) {
        public long lastIndex() {
            return baseIndex + log.size();
        }

        public boolean holds(long index) {
            return index > baseIndex && index <= lastIndex();
        }

        /** The entry at an index that the log holds. */
        public LogEntry entry(long index) {
            return log.get((int) (index - baseIndex - 1));
        }
    }

    private ReplicaProbe() {}

    /** The state right now, read inside the replica's shard. */
    public static ReplicaState state(Replica replica) {
        return replica.shard.get(() -> new ReplicaState(
                replica.role,
                replica.term,
                replica.identity,
                replica.voter,
                replica.role == Role.LEADER && replica.leader.isActive(),
                replica.commits.commitIndex(),
                replica.commits.appliedIndex(),
                replica.replicatedLog.baseIndex(),
                replica.replicatedLog.entries(),
                new TreeMap<>(replica.membership.committed())));
    }

    /** Appends a membership entry at the leader without any of the rules of membership change; for mutants only. */
    public static void forceGroup(Replica replica, Map<String, String> members) {
        replica.shard.run(() -> replica.leader.append(new LogEntry(
                replica.term,
                LogEntry.Kind.MEMBERSHIP,
                replica.environment.codec().write(new TreeMap<>(members)))));
    }

    /** Lets a replica without a trusted log go on as if it were a member; for mutants only. */
    public static void followUnsworn(Replica replica) {
        replica.shard.run(() -> replica.transitionTo(Role.FOLLOWER, "unsworn"));
    }
}

package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Gives model checking access to the state of a replica. It is in the engine's package, but outside the shipped code.
 */
public final class ReplicaProbe {
    /** A copy of the replica's state; {@code log} begins after {@code baseIndex}. */
    public record Snapshot(
            Role role,
            long term,
            String identity,
            boolean voter,
            boolean activeLeader,
            long commitIndex,
            long appliedIndex,
            long baseIndex,
            List<LogEntry> log,
            Map<String, String> members) {
        public long lastIndex() {
            return baseIndex + log.size();
        }

        public boolean contains(long index) {
            return index > baseIndex && index <= lastIndex();
        }

        /** The entry at an index that {@link #contains} accepts. */
        public LogEntry entry(long index) {
            return log.get((int) (index - baseIndex - 1));
        }
    }

    private ReplicaProbe() {}

    /** The current state, read on the replica's shard. */
    public static Snapshot state(Replica<?, ?> replica) {
        ReplicaState state = replica.state();
        return state.shard()
                .get(() -> new Snapshot(
                        state.role(),
                        state.term(),
                        state.identity(),
                        state.isVoter(),
                        state.isLeader() && replica.leader().isActive(),
                        replica.commits().commitIndex(),
                        replica.commits().appliedIndex(),
                        state.log().baseIndex(),
                        state.log().entries(),
                        new TreeMap<>(state.membership().committed())));
    }

    /** Appends a membership entry at the leader without the rules of membership changes; for mutants only. */
    public static void forceMembers(Replica<?, ?> replica, Map<String, String> members) {
        ReplicaState state = replica.state();
        byte[] bytes = state.environment().codec().write(new TreeMap<>(members));
        state.shard().run(() -> replica.leader().append(new LogEntry(state.term(), LogEntry.Kind.MEMBERSHIP, bytes)));
    }

    /** Makes a replica without a trusted log act as a follower, as if it were a member; for mutants only. */
    public static void followWithoutVote(Replica<?, ?> replica) {
        replica.state().shard().run(() -> replica.state().transitionTo(Role.FOLLOWER, "not a member"));
    }
}

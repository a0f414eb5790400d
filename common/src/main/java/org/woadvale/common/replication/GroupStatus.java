package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;

/**
 * One replica's knowledge of its group.
 *
 * @param members the committed members, sorted
 * @param leader this replica leads the group and may act
 * @param voting this replica counts under its present identity
 * @param stable this replica leads, no change is under way, and each member is up to date under the identity that
 *     counts
 */
public record GroupStatus(long term, List<String> members, boolean leader, boolean voting, boolean stable) {
    /** To be called on the replica's shard. */
    static GroupStatus of(Replica replica) {
        Map<String, String> members = replica.membership.committed();
        return new GroupStatus(
                replica.term,
                List.copyOf(members.keySet()),
                replica.isActiveLeader(),
                replica.voter && replica.identity.equals(members.get(replica.environment.self())),
                replica.role == Role.LEADER && replica.leader.stable());
    }
}

package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;

/**
 * One replica's knowledge of its group.
 *
 * @param members the committed members, sorted
 * @param leading this replica leads the group and may act
 * @param voting this replica counts under its present identity
 * @param settled this replica leads, no change is under way, and each member is up to date under the identity that
 *     counts
 */
public record GroupStatus(long term, List<String> members, boolean leading, boolean voting, boolean settled) {
    /** To be called on the replica's shard. */
    static GroupStatus of(Replica replica) {
        Map<String, String> members = replica.groups.committed();
        return new GroupStatus(
                replica.term,
                List.copyOf(members.keySet()),
                replica.mayAct(),
                replica.voter && replica.identity.equals(members.get(replica.env.self())),
                replica.phase == Phase.OWNING && replica.leading.settled());
    }
}

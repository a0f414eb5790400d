package org.woadvale.common.replication;

import java.util.List;

/**
 * One replica's knowledge of its group.
 *
 * @param term the replica's term
 * @param members the committed members, sorted
 * @param leader this replica leads the group and may act
 * @param voting this replica counts under its present identity
 * @param stable this replica leads, no change is under way, and each member is up to date under the identity that
 *     counts
 */
public record GroupStatus(long term, List<String> members, boolean leader, boolean voting, boolean stable) {}

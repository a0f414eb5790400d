package org.woadvale.common.replication;

import java.util.List;

/**
 * One replica's view of its group.
 *
 * @param term the replica's term
 * @param members the committed members, sorted
 * @param leader whether this replica leads the group and may act
 * @param voting whether this replica counts under its current identity
 * @param stable whether this replica leads, no membership change is in progress, and each member is up to date under
 *     its committed identity
 */
public record GroupStatus(long term, List<String> members, boolean leader, boolean voting, boolean stable) {}

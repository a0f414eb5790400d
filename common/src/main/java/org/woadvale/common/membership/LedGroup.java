package org.woadvale.common.membership;

import java.util.List;

/**
 * The group of a partition as reported by its leader.
 *
 * @param term the leader's term; of two reports the one with the higher term counts
 * @param members the committed members, sorted
 * @param stable whether no change is in progress and each member is up to date under its current identity
 */
public record LedGroup(long term, List<String> members, boolean stable) {}

package org.woadvale.common.membership;

import java.util.List;

/**
 * The group of a partition as its leader knows it.
 *
 * @param term the leader's term; of two reports the one of the higher term holds
 * @param members the committed members, sorted
 * @param stable no change is under way, and each member has been brought up to date under its present identity
 */
public record LedGroup(long term, List<String> members, boolean stable) {}

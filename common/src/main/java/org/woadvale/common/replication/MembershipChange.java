package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The next membership change of a group, which adds a follower that has caught up.
 *
 * @param joining the node that joins, or a member that returns with another identity
 * @param members all members after the change, node to identity
 */
record MembershipChange(String joining, Map<String, String> members) {
    /**
     * Returns the next change: the new identity of a member that lost its disk, or a desired member in place of one
     * that is no longer desired; empty if there is nothing to change.
     */
    static Optional<MembershipChange> next(
            Map<String, String> members, List<String> desired, Map<String, FollowerProgress> followers) {
        return followers.entrySet().stream()
                .filter(follower -> follower.getValue().isCaughtUp())
                .flatMap(follower ->
                        joining(
                                members,
                                desired,
                                follower.getKey(),
                                follower.getValue().identity())
                                .stream())
                .findFirst();
    }

    private static Optional<MembershipChange> joining(
            Map<String, String> members, List<String> desired, String node, String identity) {
        if (identity.equals(members.get(node))) {
            return Optional.empty();
        }
        Map<String, String> next = new TreeMap<>(members);
        if (!members.containsKey(node)) {
            Optional<String> leaving = members.keySet().stream()
                    .filter(member -> !desired.contains(member))
                    .findFirst();
            boolean hasVacancy = members.size() < desired.size();
            if (!desired.contains(node) || leaving.isEmpty() && !hasVacancy) {
                return Optional.empty();
            }
            leaving.ifPresent(next::remove);
        }
        next.put(node, identity);
        return Optional.of(new MembershipChange(node, next));
    }
}

package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The next change of a group: a follower that has caught up takes its place in it.
 *
 * @param joining the node that joins, or that is a member already and comes back with another identity
 * @param members all members after the change, node to identity
 */
record MembershipChange(String joining, Map<String, String> members) {
    /** A lost disk's new identity, or a wanted member for one not wanted; empty if there is nothing to change. */
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
            boolean grows = members.size() < desired.size();
            if (!desired.contains(node) || leaving.isEmpty() && !grows) {
                return Optional.empty();
            }
            leaving.ifPresent(next::remove);
        }
        next.put(node, identity);
        return Optional.of(new MembershipChange(node, next));
    }
}

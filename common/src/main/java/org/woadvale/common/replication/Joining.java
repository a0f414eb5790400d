package org.woadvale.common.replication;

import java.time.Duration;

/** A replica that is to join opens its partition at any moment now: it is asked often, for a while. design 6.9 */
final class Joining {
    private static final Duration LIMIT = Duration.ofSeconds(5);

    private Joining() {}

    /** The node is wanted in the group, is no member yet, and has been followed for a short time only. */
    static boolean recently(Replica replica, String node, Duration followedSince) {
        return replica.desiredMembers.contains(node)
                && !replica.membership.committed().containsKey(node)
                && replica.now().compareTo(followedSince.plus(LIMIT)) < 0;
    }
}

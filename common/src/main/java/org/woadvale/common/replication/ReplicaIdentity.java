package org.woadvale.common.replication;

import java.util.function.LongSupplier;

/**
 * The name of one incarnation of a disk: random, and with the node that created it, so that a disk that was copied from
 * another member is noticed.
 */
final class ReplicaIdentity {
    private static final String NODE_SEPARATOR = "@";

    private ReplicaIdentity() {}

    static String create(LongSupplier random, String node) {
        return Long.toHexString(random.getAsLong()) + NODE_SEPARATOR + node;
    }

    /** Identities of earlier builds have no node: they count as the node's own. */
    static boolean belongsTo(String identity, String node) {
        return !identity.contains(NODE_SEPARATOR) || identity.endsWith(NODE_SEPARATOR + node);
    }
}

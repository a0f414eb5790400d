package org.woadvale.common.replication;

import java.util.function.LongSupplier;

/**
 * The identity of one incarnation of a replica's disk: a random number and the node that created it, so that a disk
 * copied from another member is detected.
 */
final class ReplicaIdentity {
    private static final String NODE_SEPARATOR = "@";

    private ReplicaIdentity() {}

    static String create(LongSupplier random, String node) {
        return Long.toHexString(random.getAsLong()) + NODE_SEPARATOR + node;
    }

    /** Identities of earlier builds do not name a node and count as the node's own. */
    static boolean belongsTo(String identity, String node) {
        return !identity.contains(NODE_SEPARATOR) || identity.endsWith(NODE_SEPARATOR + node);
    }
}

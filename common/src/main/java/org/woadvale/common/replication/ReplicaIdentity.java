package org.woadvale.common.replication;

import java.util.function.LongSupplier;

/** A random name with the node that made it, so that a disk that was copied from another member is told. design 5.8 */
final class ReplicaIdentity {
    private static final String NODE_SEPARATOR = "@";

    private ReplicaIdentity() {}

    static String create(LongSupplier random, String node) {
        return Long.toHexString(random.getAsLong()) + NODE_SEPARATOR + node;
    }

    /** Identities of builds before have no node: they are taken for the node's own. */
    static boolean belongsTo(String identity, String node) {
        return !identity.contains(NODE_SEPARATOR) || identity.endsWith(NODE_SEPARATOR + node);
    }
}

package org.woadvale.common.membership;

import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.Since;

/**
 * A lease that one node holds at a time.
 *
 * @param owner the node that holds the lease; empty while it is vacant
 * @param term increases with each owner; 0 if the lease was never owned
 * @param level the token level that the previous owner handed on; 0 if it was lost, negative if there was no owner
 *     before
 * @param clear whether the lease was acquired after everything granted in earlier terms had expired
 */
public record SingletonLease(
        @FirstFormatName("holder") String owner,
        long term,
        double level,
        @Since(2) boolean clear) {
    /** A lease that was never owned. */
    public static SingletonLease none() {
        return new SingletonLease("", 0, -1, false);
    }

    /** Whether the lease has no owner. */
    public boolean vacant() {
        return owner.isEmpty();
    }
}

package org.woadvale.common.membership;

import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.Since;

/**
 * A lease that one node holds at a time; the owner is empty while it is vacant. A term of zero: never owned. Clear: it
 * was taken when all that earlier terms gave out had lapsed.
 */
public record SingletonLease(
        @FirstFormatName("holder") String owner,
        long term,
        double level,
        @Since(2) boolean clear) {
    /** A lease that nobody ever owned. */
    public static SingletonLease none() {
        return new SingletonLease("", 0, -1, false);
    }

    /** Whether nobody owns it. */
    public boolean vacant() {
        return owner.isEmpty();
    }
}

package org.woadvale.common.membership;

import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.Since;

/**
 * A one-node duty; the holder is empty while it is vacant. A term of zero: never held. Clear: it was taken when all
 * that earlier terms gave out had lapsed.
 */
public record SingletonLease(
        @FirstFormatName("holder") String owner,
        long term,
        double level,
        @Since(2) boolean clear) {
    public static SingletonLease none() {
        return new SingletonLease("", 0, -1, false);
    }

    public boolean vacant() {
        return owner.isEmpty();
    }
}

package org.woadvale.common.membership;

import java.util.List;
import java.util.Map;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.Since;

/**
 * What a member reports about itself with each renewal of its lease; each role is a service as well.
 *
 * @param notVoting message partitions that the placement assigns to this store and in which it does not vote yet
 * @param leaving whether the store is draining; it still serves until its grace period ends
 * @param newcomer whether the store started with an empty disk a short while ago and was not in the placement
 * @param groups the groups of the message partitions that this store leads, by partition
 */
public record MemberLease(
        @FirstFormatName("hall") String zone,
        String http,
        String incarnation,
        @Since(2) List<String> notVoting,
        @Since(4) boolean leaving,
        @Since(4) boolean newcomer,
        @Since(4) Map<String, LedGroup> groups) {

    /** A member that is not a store, or a store with nothing else to report. */
    public MemberLease(String zone, String http, String incarnation, List<String> notVoting) {
        this(zone, http, incarnation, notVoting, false, false, Map.of());
    }
}

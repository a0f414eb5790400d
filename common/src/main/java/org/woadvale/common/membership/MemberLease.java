package org.woadvale.common.membership;

import java.util.List;
import java.util.Map;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.Since;

/**
 * What a member says of itself with each renewal of its lease; a role is a service too.
 *
 * @param notVoting message partitions that the placement gives to this store and in which it does not count yet
 * @param leaving the store is draining, and serves on for as long as its grace period lasts
 * @param newcomer the store began with an empty disk a short while ago, and the placement did not name it
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

    /** A member that is no store, or one of which nothing more is to be said. */
    public MemberLease(String zone, String http, String incarnation, List<String> notVoting) {
        this(zone, http, incarnation, notVoting, false, false, Map.of());
    }
}

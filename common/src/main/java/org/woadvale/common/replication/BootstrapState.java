package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The stored state of a replica in the agreement on its group's initial members.
 *
 * @param desiredMembers the list that the replica was started with, the preferred leader first; empty for none
 * @param promised the promised proposal; earlier ones are rejected
 * @param acceptedIn the proposal in which members were accepted last
 * @param accepted the proposed members that were accepted last, node to identity; empty for none
 * @param founded whether the group was bootstrapped with the accepted members, as far as this replica knows
 */
public record BootstrapState(
        List<String> desiredMembers,
        BootstrapBallot promised,
        BootstrapBallot acceptedIn,
        Map<String, String> accepted,
        boolean founded) {
    /** Nothing is known, promised or accepted. */
    static final BootstrapState EMPTY =
            new BootstrapState(List.of(), BootstrapBallot.NONE, BootstrapBallot.NONE, Map.of(), false);

    BootstrapState withDesiredMembers(List<String> members) {
        return new BootstrapState(List.copyOf(members), promised, acceptedIn, accepted, founded);
    }

    BootstrapState withPromise(BootstrapBallot ballot) {
        return new BootstrapState(desiredMembers, ballot, acceptedIn, accepted, founded);
    }

    BootstrapState withAccepted(BootstrapBallot ballot, Map<String, String> members) {
        return new BootstrapState(desiredMembers, ballot, ballot, new TreeMap<>(members), founded);
    }

    BootstrapState withFounded(Map<String, String> members) {
        return new BootstrapState(desiredMembers, promised, acceptedIn, new TreeMap<>(members), true);
    }
}

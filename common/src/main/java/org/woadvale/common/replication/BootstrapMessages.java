package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;

/** Messages of the agreement on the initial members of a group, in two rounds: promises, then acceptances. */
public final class BootstrapMessages {
    private BootstrapMessages() {}

    /** Asks a desired member to promise to accept no earlier proposal, and to report what it has accepted so far. */
    public record PrepareRequest(String partition, BootstrapBallot ballot) implements ReplicationRequest {}

    /**
     * The response to a prepare request; a promise is on disk before the response is sent.
     *
     * @param promised whether the receiver promised
     * @param initialized whether the receiver already has a log of its group, and therefore promises nothing
     * @param highest the proposal that the receiver has promised
     * @param identity the receiver's identity
     * @param acceptedIn the proposal in which the receiver accepted members
     * @param accepted the members that the receiver accepted last, node to identity; empty for none
     * @param founded whether the group is known to be bootstrapped with the accepted members
     */
    public record PrepareResponse(
            boolean promised,
            boolean initialized,
            BootstrapBallot highest,
            String identity,
            BootstrapBallot acceptedIn,
            Map<String, String> accepted,
            boolean founded) {}

    /** Asks a member to accept the initial members of the group, node to identity. */
    public record AcceptRequest(String partition, BootstrapBallot ballot, Map<String, String> members)
            implements ReplicationRequest {}

    /** Whether the members are accepted and on disk; if not, which proposal the receiver has promised. */
    public record AcceptResponse(boolean accepted, BootstrapBallot highest) {}

    /** All types in the order of their numbers on the wire: append only at the end. */
    public static List<Class<?>> types() {
        return List.of(
                BootstrapBallot.class,
                PrepareRequest.class,
                PrepareResponse.class,
                AcceptRequest.class,
                AcceptResponse.class,
                BootstrapState.class);
    }
}

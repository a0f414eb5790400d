package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;

/** The agreement on the first members of a group, in two rounds: promises, then acceptances. */
public final class BootstrapMessages {
    private BootstrapMessages() {}

    /** Asks a desired member to take no proposal before this one, and what it has accepted so far. */
    public record PrepareRequest(String partition, BootstrapBallot ballot) implements ReplicationRequest {}

    /**
     * The answer to a prepare request, on disk before it leaves.
     *
     * @param promised whether the receiver promised
     * @param initialized whether the receiver has a log of its group already, and so promises nothing
     * @param highest the proposal that the receiver has promised
     * @param identity under which identity the receiver answers
     * @param acceptedIn the proposal in which the receiver accepted members
     * @param accepted the members that the receiver accepted last, node to identity; empty for none
     * @param founded whether the group is known to be founded with the accepted members
     */
    public record PrepareResponse(
            boolean promised,
            boolean initialized,
            BootstrapBallot highest,
            String identity,
            BootstrapBallot acceptedIn,
            Map<String, String> accepted,
            boolean founded) {}

    /** Asks a member to accept the first members of the group, node to identity. */
    public record AcceptRequest(String partition, BootstrapBallot ballot, Map<String, String> members)
            implements ReplicationRequest {}

    /** Whether the members are accepted and on disk; if not, which proposal the receiver has promised. */
    public record AcceptResponse(boolean accepted, BootstrapBallot highest) {}

    /** All types by their numbers on the wire: only ever add at the end. */
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

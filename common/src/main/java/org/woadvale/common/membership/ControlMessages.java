package org.woadvale.common.membership;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.Since;

/**
 * Requests to control nodes and to home nodes, which relay service views, and the commands in the logs of control
 * partitions.
 */
public final class ControlMessages {
    private ControlMessages() {}

    /** A command in the log of a control partition. */
    public sealed interface ControlCommand {}

    /** The result of applying a command to a control partition. */
    public sealed interface ControlResult {}

    /** Renews a node's membership in a service, or adds the node to the service. */
    public record RenewLeaseRequest(String service, String node, MemberLease memberLease)
            implements RepeatableRequest {}

    /** Ends a node's membership in a service at its own request. */
    public record LeaveRequest(String service, String node) implements RepeatableRequest {}

    /**
     * Renews a singleton lease in the given term; does nothing if the current term is another one. A term of 0 requests
     * to acquire the lease; a resent request gets the outcome of the first one with the same request id.
     */
    public record SingletonLeaseRequest(
            String service,
            String node,
            long term,
            @Since(4) long requestId) implements RepeatableRequest {}

    /** Whether the lease is granted to the requesting node, and the current lease. */
    public record SingletonLeaseResponse(
            @FirstFormatName("yours") boolean granted,
            @FirstFormatName("duty") SingletonLease lease) implements ControlResult {}

    /** Releases a singleton lease and reports the token level of its bucket. */
    public record ReleaseSingletonRequest(String service, String node, long term, double level)
            implements RepeatableRequest {}

    /** Whether an update was accepted. */
    public record UpdateResult(boolean accepted) implements ControlResult {}

    /** The versions that the requesting node has, by service; -1 for none. */
    public record ServiceViewRequest(
            Map<String, Long> knownVersions, @Since(4) boolean acceptsDeflated) implements RepeatableRequest {
        /** A request from a build that can read deflated configurations. */
        public ServiceViewRequest(Map<String, Long> known) {
            this(known, true);
        }
    }

    /**
     * The views whose versions differ from the requested ones, for each served service the time since its view was
     * confirmed, and the epoch of the core member list that the responding process knows. A configuration that is sent
     * deflated is in {@code deflated} by service, and empty in its view.
     */
    public record ServiceViewResponse(
            List<ServiceView> views,
            Map<String, Duration> ages,
            @Since(3) long coreEpoch,
            @Since(4) Map<String, byte[]> deflated) {
        /** Without deflated configurations. */
        public ServiceViewResponse(List<ServiceView> views, Map<String, Duration> ages, long coreEpoch) {
            this(views, ages, coreEpoch, Map.of());
        }
    }

    /** Requests the members of the core, as far as the receiving node knows them. */
    public record CoreMembersRequest(boolean any) implements RepeatableRequest {}

    /**
     * The members of the core. The list with the higher epoch is newer; the epoch is 0 for a list that is not known to
     * be committed.
     */
    public record CoreMembersResponse(
            List<String> members, @Since(3) long epoch) {}

    // commands in the logs of control partitions
    /** Makes a node a member of a service, or changes its lease. */
    public record PutMember(
            String service,
            String node,
            @FirstFormatName("seat") MemberLease memberLease) implements ControlCommand {}

    /** Ends the membership of one incarnation of a node. */
    public record DropMember(String service, String node, String incarnation) implements ControlCommand {}

    /**
     * Adds or replaces a processor. Accepted only if the expected version is the current version plus one, or 0, which
     * is always accepted.
     */
    public record PutProcessor(
            String service,
            String id,
            Processor processor,
            @Since(2) long expectedVersion,
            @Since(4) long requestId) implements ControlCommand, RepeatableRequest {}

    /** Removes a processor from a list, with an expected version as for {@link PutProcessor}. */
    public record DropProcessor(
            String service,
            String id,
            @Since(2) long expectedVersion,
            @Since(4) long requestId) implements ControlCommand, RepeatableRequest {}

    /** Makes a node the owner of a singleton lease, if its term is still the expected one. */
    public record AcquireSingleton(
            String service,
            String node,
            long expectedTerm,
            @Since(2) boolean lapsed,
            @Since(4) long requestId) implements ControlCommand {}

    /** Clears the owner of a singleton lease, if the node owns it in this term. */
    public record ReleaseSingleton(String service, String node, long term, double level) implements ControlCommand {}

    /** Replaces the placement, if its version is still the expected one. */
    public record PutPlacement(Map<String, List<String>> placement, long expectedVersion) implements ControlCommand {}

    /**
     * An update of the configuration. A revision other than 0 becomes the version; the original is stored and returned
     * to readers.
     */
    public record PutConfiguration(
            String requestId,
            long base,
            byte[] configuration,
            String author,
            @Since(3) long revision,
            @Since(3) byte[] original)
            implements ControlCommand {
        /** An update that takes the next version and was not translated. */
        public PutConfiguration(String requestId, long base, byte[] configuration, String author) {
            this(requestId, base, configuration, author, 0, new byte[0]);
        }
    }

    /** Replaces all processors of a service, with a complete list from a source. */
    public record PutProcessors(
            String service,
            Map<String, Processor> processors,
            @FirstFormatName("seen") long expectedVersion,
            @Since(4) long requestId)
            implements ControlCommand, RepeatableRequest {}

    /** Creates a request id for a command that may be resent; control partitions answer all copies alike. */
    public static long newRequestId() {
        return UUID.randomUUID().getMostSignificantBits();
    }

    /** The version of an accepted update; repeated if it had been accepted before. */
    public record ConfigurationAccepted(long version, boolean repeated) implements ControlResult {}

    /** Replaces the members of the core, if they are the expected ones. */
    public record PutCore(List<String> members, @Since(2) List<String> expected)
            implements ControlCommand, RepeatableRequest {}

    /** Notifies a store of a newer version of the placement, so that it does not wait for its next poll. */
    public record PlacementChanged(long version) implements RepeatableRequest {}

    /**
     * Announces a running control machine to the leader of the core's member list, so that it can replace a lost
     * member.
     */
    public record AnnounceStandbyRequest(String node, String zone) implements RepeatableRequest {}

    /**
     * Announces that a member is about to stop; the response says whether it should wait until its successor has
     * replaced it in every group.
     */
    public record LeaveCoreRequest(String node) implements RepeatableRequest {}

    /** Replaces the members of the core, if the list has the epoch on which the change is based. */
    public record ChangeCore(List<String> members, long epoch) implements ControlCommand {}

    /**
     * The types added after the first build. Their ids follow those of all other shared types, so types are only ever
     * appended.
     */
    public static List<Class<?>> typesAddedLater() {
        return List.of(
                PutProcessors.class,
                AnnounceStandbyRequest.class,
                LeaveCoreRequest.class,
                ChangeCore.class,
                LedGroup.class,
                PlacementChanged.class);
    }

    /** The types of the first build. Their order defines their ids and never changes. */
    public static List<Class<?>> types() {
        return List.of(
                RenewLeaseRequest.class,
                LeaveRequest.class,
                SingletonLeaseRequest.class,
                SingletonLeaseResponse.class,
                ReleaseSingletonRequest.class,
                UpdateResult.class,
                ServiceViewRequest.class,
                ServiceViewResponse.class,
                CoreMembersRequest.class,
                CoreMembersResponse.class,
                PutMember.class,
                DropMember.class,
                PutProcessor.class,
                DropProcessor.class,
                AcquireSingleton.class,
                ReleaseSingleton.class,
                PutPlacement.class,
                PutConfiguration.class,
                ConfigurationAccepted.class,
                MemberLease.class,
                Processor.class,
                SingletonLease.class,
                ServiceView.class,
                PutCore.class);
    }
}

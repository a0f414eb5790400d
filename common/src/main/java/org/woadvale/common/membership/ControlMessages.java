package org.woadvale.common.membership;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.Since;

/** What nodes ask control nodes and home nodes, and the commands in the logs of control partitions. */
public final class ControlMessages {
    private ControlMessages() {}

    /** A command in the log of a control partition. */
    public sealed interface ControlCommand {}

    /** What applying a command to a control partition answers. */
    public sealed interface ControlResult {}

    /** A node renews its membership in a service, or joins it. */
    public record RenewLeaseRequest(String service, String node, MemberLease memberLease)
            implements RepeatableRequest {}

    /** A node leaves a service in order. */
    public record LeaveRequest(String service, String node) implements RepeatableRequest {}

    /**
     * Renews a singleton lease in its term, and does nothing if another term is the present one. A term of 0 asks to
     * acquire the lease; sent again as it was, it has the outcome of its first copy, which is known by the request id.
     */
    public record SingletonLeaseRequest(
            String service,
            String node,
            long term,
            @Since(4) long requestId) implements RepeatableRequest {}

    /** Whether the lease is granted to the node that asked, and the lease as it stands. */
    public record SingletonLeaseResponse(
            @FirstFormatName("yours") boolean granted,
            @FirstFormatName("duty") SingletonLease lease) implements ControlResult {}

    /** The owner gives a singleton lease up, with the level of its bucket. */
    public record ReleaseSingletonRequest(String service, String node, long term, double level)
            implements RepeatableRequest {}

    /** Whether an update was accepted. */
    public record UpdateResult(boolean accepted) implements ControlResult {}

    /** The versions that the asking node has, by service; -1 for none. */
    public record ServiceViewRequest(
            Map<String, Long> knownVersions, @Since(4) boolean acceptsDeflated) implements RepeatableRequest {
        /** Asked by a build that can read deflated configurations. */
        public ServiceViewRequest(Map<String, Long> known) {
            this(known, true);
        }
    }

    /**
     * Views that differ, and for each service served the age of its confirmation; and the epoch of the list of the
     * core's members that the answering process knows. A configuration that travels deflated, by service, is empty in
     * its view.
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

    /** Asks for the members of the core, as far as the asked node knows them. */
    public record CoreMembersRequest(boolean any) implements RepeatableRequest {}

    /** The members of the core; the epoch tells which of two lists is newer, 0 for a list by hearsay. */
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
     * Accepted only while the list has the version that was read, plus one; an expected version of 0 is always
     * accepted.
     */
    public record PutProcessor(
            String service,
            String id,
            Processor processor,
            @Since(2) long expectedVersion,
            @Since(4) long requestId) implements ControlCommand, RepeatableRequest {}

    /** Takes a processor off a list; with an expected version as for {@link PutProcessor}. */
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

    /** Leaves a singleton lease without an owner, if the node owns it in this term. */
    public record ReleaseSingleton(String service, String node, long term, double level) implements ControlCommand {}

    /** Replaces the placement, if its version is still the expected one. */
    public record PutPlacement(Map<String, List<String>> placement, long expectedVersion) implements ControlCommand {}

    /**
     * An update of the configuration. A revision, if not 0, becomes the version; the original is kept and given back.
     */
    public record PutConfiguration(
            String requestId,
            long base,
            byte[] configuration,
            String author,
            @Since(3) long revision,
            @Since(3) byte[] original)
            implements ControlCommand {
        /** An update whose version is the next one and that was not translated. */
        public PutConfiguration(String requestId, long base, byte[] configuration, String author) {
            this(requestId, base, configuration, author, 0, new byte[0]);
        }
    }

    /** Replaces all processors of a service, from a source that knows them all. */
    public record PutProcessors(
            String service,
            Map<String, Processor> processors,
            @FirstFormatName("seen") long expectedVersion,
            @Since(4) long requestId)
            implements ControlCommand, RepeatableRequest {}

    /** An id for a command that may be sent again; control partitions answer its repeats alike. */
    public static long newRequestId() {
        return UUID.randomUUID().getMostSignificantBits();
    }

    /** The version that an update has become; repeated if it was accepted before. */
    public record ConfigurationAccepted(long version, boolean repeated) implements ControlResult {}

    /** Replaces the members of the core, if they are the expected ones. */
    public record PutCore(List<String> members, @Since(2) List<String> expected)
            implements ControlCommand, RepeatableRequest {}

    /** Tells a store that the placement has a newer version, which it need not find out by its next poll. */
    public record PlacementChanged(long version) implements RepeatableRequest {}

    /**
     * A control machine tells the leader of the core's list that it runs, so that it may take a lost member's place.
     */
    public record AnnounceStandbyRequest(String node, String zone) implements RepeatableRequest {}

    /** A member is about to stop; the answer says whether it should stay until its successor counts everywhere. */
    public record LeaveCoreRequest(String node) implements RepeatableRequest {}

    /** Replaces the members of the core, if the list has the epoch that the change was made from. */
    public record ChangeCore(List<String> members, long epoch) implements ControlCommand {}

    /** Types that came after the first build: numbered after all others, only ever add at the end. */
    public static List<Class<?>> typesAddedLater() {
        return List.of(
                PutProcessors.class,
                AnnounceStandbyRequest.class,
                LeaveCoreRequest.class,
                ChangeCore.class,
                LedGroup.class,
                PlacementChanged.class);
    }

    /** The types of the first build, by their numbers: never changed. */
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

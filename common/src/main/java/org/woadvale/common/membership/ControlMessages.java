package org.woadvale.common.membership;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.Since;

/** What processes ask the core, and home nodes: design 6.3 and 7. */
public final class ControlMessages {
    private ControlMessages() {}

    /** A command in the log of a control partition. */
    public sealed interface ControlCommand {}

    /** What applying a command to a control partition answers. */
    public sealed interface ControlResult {}

    public record RenewLeaseRequest(String service, String node, MemberLease memberLease)
            implements RepeatableRequest {}

    public record LeaveRequest(String service, String node) implements RepeatableRequest {}

    /**
     * Renews the duty in its term, and does nothing if another term is the present one. A term of 0 stands for the duty;
     * sent again as it was, it has the outcome of its first copy, told by the request id. design 6.11
     */
    public record SingletonLeaseRequest(
            String service,
            String node,
            long term,
            @Since(4) long requestId) implements RepeatableRequest {}

    public record SingletonLeaseResponse(
            @FirstFormatName("yours") boolean granted,
            @FirstFormatName("duty") SingletonLease lease) implements ControlResult {}

    public record ReleaseSingletonRequest(String service, String node, long term, double level)
            implements RepeatableRequest {}

    public record UpdateResult(boolean accepted) implements ControlResult {}

    /** Versions known by the asker; -1 for none. It may read deflated configurations. */
    public record ServiceViewRequest(
            Map<String, Long> knownVersions, @Since(4) boolean acceptsDeflated) implements RepeatableRequest {
        public ServiceViewRequest(Map<String, Long> known) {
            this(known, true);
        }
    }

    /**
     * Views that differ, and for each service served the age of its confirmation; and the epoch of the list of the
     * core's members that the answering process knows. A configuration that travels deflated, by service, is
     * empty in its view.
     */
    public record ServiceViewResponse(
            List<ServiceView> views,
            Map<String, Duration> ages,
            @Since(3) long coreEpoch,
            @Since(4) Map<String, byte[]> deflated) {
        public ServiceViewResponse(List<ServiceView> views, Map<String, Duration> ages, long coreEpoch) {
            this(views, ages, coreEpoch, Map.of());
        }
    }

    public record CoreMembersRequest(boolean any) implements RepeatableRequest {}

    /** The members of the core; the epoch tells which of two lists is newer, 0 for a list by hearsay. design 6.10 */
    public record CoreMembersResponse(
            List<String> members, @Since(3) long epoch) {}

    // commands in the logs of control parts
    public record PutMember(
            String service,
            String node,
            @FirstFormatName("seat") MemberLease memberLease) implements ControlCommand {}

    public record DropMember(String service, String node, String incarnation) implements ControlCommand {}

    /** Taken only while the list has the version seen before, plus one; nothing (0) is always taken. design 6.7 */
    public record PutProcessor(
            String service,
            String id,
            Processor processor,
            @Since(2) long expectedVersion,
            @Since(4) long requestId) implements ControlCommand, RepeatableRequest {}

    public record DropProcessor(
            String service,
            String id,
            @Since(2) long expectedVersion,
            @Since(4) long requestId) implements ControlCommand, RepeatableRequest {}

    public record AcquireSingleton(
            String service,
            String node,
            long expectedTerm,
            @Since(2) boolean lapsed,
            @Since(4) long requestId) implements ControlCommand {}

    public record ReleaseSingleton(String service, String node, long term, double level) implements ControlCommand {}

    public record PutPlacement(Map<String, List<String>> placement, long expectedVersion) implements ControlCommand {}

    /** A revision of the operator's own, if not 0, becomes the version; the original is kept and given back. design 6.8 */
    public record PutConfiguration(
            String requestId,
            long base,
            byte[] configuration,
            String author,
            @Since(3) long revision,
            @Since(3) byte[] original)
            implements ControlCommand {
        public PutConfiguration(String requestId, long base, byte[] configuration, String author) {
            this(requestId, base, configuration, author, 0, new byte[0]);
        }
    }

    /** A whole list at once, from a registry that has them all: design 6.7. */
    public record PutProcessors(
            String service,
            Map<String, Processor> processors,
            @FirstFormatName("seen") long expectedVersion,
            @Since(4) long requestId)
            implements ControlCommand, RepeatableRequest {}

    /** A number for a call that may be sent again; the control partitions answer its repeats alike. design 6.11 */
    public static long newRequestId() {
        return UUID.randomUUID().getMostSignificantBits();
    }

    public record ConfigurationAccepted(long version, boolean repeated) implements ControlResult {}

    /** One control node for another: the whole list as it should be. */
    public record PutCore(List<String> members, @Since(2) List<String> expected)
            implements ControlCommand, RepeatableRequest {}

    /** Tells a store that the placement has a newer version, which it need not find out by its next poll. */
    public record PlacementChanged(long version) implements RepeatableRequest {}

    /** A control machine tells the leader of the core's list that it runs, so that it may take a lost member's place. */
    public record AnnounceStandbyRequest(String node, String zone) implements RepeatableRequest {}

    /** A member is about to stop; the answer says whether it should stay until its successor counts everywhere. */
    public record LeaveCoreRequest(String node) implements RepeatableRequest {}

    /** Taken only while the list has the epoch that the change was made from. design 6.10 */
    public record ChangeCore(List<String> members, long epoch) implements ControlCommand {}

    /** Types that came after the first build: numbered after all others. design 3.2 */
    public static List<Class<?>> later() {
        return List.of(
                PutProcessors.class,
                AnnounceStandbyRequest.class,
                LeaveCoreRequest.class,
                ChangeCore.class,
                LedGroup.class,
                PlacementChanged.class);
    }

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

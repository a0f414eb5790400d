package org.woadvale.controlplane.api;

import java.util.List;
import java.util.Map;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.Since;
import org.woadvale.controlplane.configuration.ConfigurationLog;
import org.woadvale.controlplane.state.AppliedRequests;
import org.woadvale.controlplane.state.ControlStateMachine;

/** Requests between control nodes on behalf of operators and the platform. */
public final class ControlApiMessages {
    private ControlApiMessages() {}

    /** An operator's update, forwarded by the node that received it to the leader of the configuration's partition. */
    public record PutConfigurationRequest(ControlMessages.PutConfiguration put) implements RepeatableRequest {}

    /** Requests a retained revision; a negative version requests the newest. */
    public record GetConfigurationRequest(long version) implements RepeatableRequest {}

    /** A revision; the original is the document that the operator sent, empty if it was not translated. */
    public record ConfigurationResponse(
            long version,
            String author,
            byte[] configuration,
            @Since(3) byte[] original) {}

    /** Requests the list of retained revisions. */
    public record GetHistoryRequest(int most) implements RepeatableRequest {}

    /** Parallel lists with one element for each revision, oldest first. */
    public record HistoryResponse(List<Long> versions, List<String> requests, List<String> authors) {}

    /** Requests the processors of a service. */
    public record GetProcessorsRequest(String service) implements RepeatableRequest {}

    /** The processors of a service by id, and the version of the service view that contains them. */
    public record ProcessorsResponse(Map<String, Processor> processors, long version) {}

    /**
     * The types that only control nodes use. Their order defines the type ids on the wire and on disk, so types are
     * only ever appended.
     */
    public static List<Class<?>> types() {
        return List.of(
                ControlStateMachine.State.class,
                ConfigurationLog.ConfigurationRevision.class,
                PutConfigurationRequest.class,
                GetConfigurationRequest.class,
                ConfigurationResponse.class,
                GetHistoryRequest.class,
                HistoryResponse.class,
                GetProcessorsRequest.class,
                ProcessorsResponse.class,
                ConfigurationLog.AcceptedUpdate.class,
                ConfigurationLog.RejectedUpdate.class,
                AppliedRequests.Outcome.class);
    }
}

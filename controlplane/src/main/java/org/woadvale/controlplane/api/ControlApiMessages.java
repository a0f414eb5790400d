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

/** What control nodes ask one another on behalf of operators and the platform. */
public final class ControlApiMessages {
    private ControlApiMessages() {}

    /** An operator's update, from the node that was asked to the leader of the configuration's partition. */
    public record PutConfigurationRequest(ControlMessages.PutConfiguration put) implements RepeatableRequest {}

    /** Asks for a revision that is kept; a negative version stands for the newest. */
    public record GetConfigurationRequest(long version) implements RepeatableRequest {}

    /** A revision; the original is what the operator sent, and empty where nothing was translated. */
    public record ConfigurationResponse(
            long version,
            String author,
            byte[] configuration,
            @Since(3) byte[] original) {}

    /** Asks for the revisions that are kept. */
    public record GetHistoryRequest(int most) implements RepeatableRequest {}

    /** One element of each list for each revision, the oldest first. */
    public record HistoryResponse(List<Long> versions, List<String> requests, List<String> authors) {}

    /** Asks for the processors of a service. */
    public record GetProcessorsRequest(String service) implements RepeatableRequest {}

    /** The processors of a service by id, and the version of the view that has them. */
    public record ProcessorsResponse(Map<String, Processor> processors, long version) {}

    /** The types of a control node by their numbers on the wire and on disk: only ever add at the end. */
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

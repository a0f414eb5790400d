package org.woadvale.controlplane.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;

/** Selects the service views of one control partition that a subscriber does not have yet. */
public final class ServiceViewQuery {
    private ServiceViewQuery() {}

    /**
     * Returns the views whose version differs from the requested one, leaving out services of other partitions. Must
     * run within a linearizable read of the partition, since the reported ages are zero.
     */
    public static ControlMessages.ServiceViewResponse changed(
            String partition,
            ControlStateMachine stateMachine,
            ControlMessages.ServiceViewRequest request,
            long coreEpoch) {
        List<ServiceView> views = new ArrayList<>();
        Map<String, Duration> ages = new HashMap<>();
        request.knownVersions().forEach((service, knownVersion) -> {
            if (ServiceNames.controlPartition(service).equals(partition)) {
                ServiceView view = stateMachine.service(service);
                ages.put(service, Duration.ZERO);
                if (view.version() != knownVersion) {
                    views.add(view);
                }
            }
        });
        return new ControlMessages.ServiceViewResponse(views, ages, coreEpoch);
    }
}

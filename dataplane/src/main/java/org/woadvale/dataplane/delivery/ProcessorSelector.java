package org.woadvale.dataplane.delivery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;

/**
 * Selects the back ends that may receive work of a service, by views known to be fresh. (docs/design.md, section 7.2)
 */
final class ProcessorSelector {
    static final String ENDPOINT = "endpoint";

    private ProcessorSelector() {}

    /**
     * The number of deliveries that may be in flight from this store to one back end: an equal share, among the stores,
     * of the connections of the service and of twice the slots of the processor, whichever is less. 0 if neither is
     * configured.
     */
    static ToIntFunction<DeliveryTargets.Target> maxInFlight(Dispatcher dispatcher, String service) {
        int stores = (int) Math.max(
                1,
                dispatcher.context().subscriptions().latest(ServiceNames.STORES).placement().values().stream()
                        .flatMap(List::stream)
                        .distinct()
                        .count());
        int streams = dispatcher
                .context()
                .configurations()
                .fresh()
                .map(known -> known.configuration().services().get(service))
                .map(Configuration.Service::streams)
                .orElse(0);
        Map<String, Processor> listed = dispatcher
                .context()
                .subscriptions()
                .latest(ServiceNames.processors(service))
                .processors();
        return target -> {
            int bySlots = Optional.ofNullable(listed.get(target.id()))
                    .map(processor -> (processor.slots() * 2 + stores - 1) / stores)
                    .orElse(0);
            int byStreams = streams == 0 ? 0 : Math.max(1, streams / stores);
            return bySlots == 0 ? byStreams : byStreams == 0 ? bySlots : Math.min(bySlots, byStreams);
        };
    }

    static List<DeliveryTargets.Target> targets(Dispatcher dispatcher, String service) {
        Optional<Configuration.Service> configured = dispatcher
                .context()
                .configurations()
                .fresh()
                .map(known -> known.configuration().services().get(service));
        if (configured.isEmpty()) {
            return List.of();
        }
        if (configured.get().kind() == Configuration.Kind.ENDPOINT) {
            return List.of(new DeliveryTargets.Target(
                    service, ENDPOINT, configured.get().address(), true));
        }
        List<DeliveryTargets.Target> targets = new ArrayList<>();
        if (configured.get().kind() == Configuration.Kind.FETCHERS) {
            return targets;
        }
        dispatcher
                .context()
                .subscriptions()
                .fresh(ServiceNames.processors(service))
                .ifPresent(view -> view.processors().forEach((id, processor) -> {
                    if (!processor.leaving() && !processor.address().isEmpty()) {
                        targets.add(new DeliveryTargets.Target(
                                service + "/" + id,
                                id,
                                processor.address(),
                                processor.zone().isEmpty()
                                        || processor
                                                .zone()
                                                .equals(dispatcher.context().zone())));
                    }
                }));
        return targets;
    }
}

package org.woadvale.dataplane.delivery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;

/** Who may receive work of a service now, by views of proven age (docs/design.md, section 7.2). */
final class ProcessorSelector {
    static final String ENDPOINT = "endpoint";

    private ProcessorSelector() {}

    /**
     * How much one back end may have in flight from this store: its connections shared out among the stores, and not
     * much more than its slots. 0 where nothing is said.
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
        Optional<Configuration.Service> optional = dispatcher
                .context()
                .configurations()
                .fresh()
                .map(known -> known.configuration().services().get(service));
        if (optional.isEmpty()) {
            return List.of();
        }
        if (optional.get().kind() == Configuration.Kind.ENDPOINT) {
            return List.of(
                    new DeliveryTargets.Target(service, ENDPOINT, optional.get().address(), true));
        }
        List<DeliveryTargets.Target> out = new ArrayList<>();
        if (optional.get().kind() == Configuration.Kind.FETCHERS) {
            return out;
        }
        dispatcher
                .context()
                .subscriptions()
                .fresh(ServiceNames.processors(service))
                .ifPresent(view -> view.processors().forEach((id, processor) -> {
                    if (!processor.leaving() && !processor.address().isEmpty()) {
                        out.add(new DeliveryTargets.Target(
                                service + "/" + id,
                                id,
                                processor.address(),
                                processor.zone().isEmpty()
                                        || processor
                                                .zone()
                                                .equals(dispatcher.context().zone())));
                    }
                }));
        return out;
    }
}

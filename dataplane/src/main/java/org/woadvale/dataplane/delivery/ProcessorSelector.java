package org.woadvale.dataplane.delivery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;

/** Who may receive work of a service now, by views of proven age: design 7.2. */
final class ProcessorSelector {
    static final String ENDPOINT = "endpoint";

    private ProcessorSelector() {}

    /**
     * How much one back end may have in flight from this store: its connections shared out among the stores, and not
     * much more than its slots. 0 where nothing is said.
     */
    static ToIntFunction<DeliveryTargets.Target> most(Dispatcher l, String service) {
        int stores = (int) Math.max(
                1,
                l.context().subscriptions().latest(ServiceNames.STORES).placement().values().stream()
                        .flatMap(List::stream)
                        .distinct()
                        .count());
        int streams = l.context()
                .configurations()
                .fresh()
                .map(k -> k.configuration().services().get(service))
                .map(Configuration.Service::streams)
                .orElse(0);
        Map<String, Processor> listed = l.context()
                .subscriptions()
                .latest(ServiceNames.processors(service))
                .processors();
        return t -> {
            int bySlots = Optional.ofNullable(listed.get(t.id()))
                    .map(p -> (p.slots() * 2 + stores - 1) / stores)
                    .orElse(0);
            int byStreams = streams == 0 ? 0 : Math.max(1, streams / stores);
            return bySlots == 0 ? byStreams : byStreams == 0 ? bySlots : Math.min(bySlots, byStreams);
        };
    }

    static List<DeliveryTargets.Target> targets(Dispatcher l, String service) {
        Optional<Configuration.Service> s = l.context()
                .configurations()
                .fresh()
                .map(k -> k.configuration().services().get(service));
        if (s.isEmpty()) {
            return List.of();
        }
        if (s.get().kind() == Configuration.Kind.ENDPOINT) {
            return List.of(new DeliveryTargets.Target(service, ENDPOINT, s.get().address(), true));
        }
        List<DeliveryTargets.Target> out = new ArrayList<>();
        if (s.get().kind() == Configuration.Kind.FETCHERS) {
            return out;
        }
        l.context()
                .subscriptions()
                .fresh(ServiceNames.processors(service))
                .ifPresent(v -> v.processors().forEach((id, p) -> {
                    if (!p.leaving() && !p.address().isEmpty()) {
                        out.add(new DeliveryTargets.Target(
                                service + "/" + id,
                                id,
                                p.address(),
                                p.zone().isEmpty()
                                        || p.zone().equals(l.context().zone())));
                    }
                }));
        return out;
    }
}
